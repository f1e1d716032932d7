import test from "ava";
import bunyan from "bunyan";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { CallTraffic } from "./CallTraffic.ts";

/** A target that has nothing to do for a fifth of the time; a quarter of its runs repeat another. */
const IDLE_SHARE = 0.2;
const RUNS = { count: 4, repeats: 1, idleShare: IDLE_SHARE };
const IDLE = { count: 0, repeats: 0, idleShare: IDLE_SHARE };

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** Calls among the requests that begin beside a target whose runs are as told. */
function rig(runs: typeof RUNS): CallTraffic {
  const beginCall = () => () => undefined;
  return new CallTraffic({
    runs: Object.assign(Object.create(runs) as typeof RUNS, { beginCall }),
    log,
  });
}

const cases: readonly {
  name: string;
  /** Share of the route's requests that come while the target has nothing to do. */
  comesIdle: number;
  arrivals: number;
  own: number;
  repeated: number;
}[] = [
  {
    name: "callers' own requests come at any time",
    comesIdle: 0.2,
    arrivals: 60,
    own: 1,
    repeated: 0,
  },
  {
    name: "calls come only while a run is under way",
    comesIdle: 0,
    arrivals: 60,
    own: 0,
    repeated: 0.25,
  },
  {
    name: "a few strays do not make calls callers' own",
    comesIdle: 0.01,
    arrivals: 300,
    own: 0,
    repeated: 0.25,
  },
  {
    name: "a route that is new may be either",
    comesIdle: 0,
    arrivals: 5,
    own: 0.5,
    repeated: 0.125,
  },
];

for (const { name, comesIdle, arrivals, own, repeated } of cases) {
  test(`calls: ${name}`, (t) => {
    const random = seededRandom(3);
    let now: typeof RUNS = RUNS;
    const calls = rig({
      get count() {
        return now.count;
      },
      get repeats() {
        return now.repeats;
      },
      idleShare: IDLE_SHARE,
    });
    for (let n = 0; n < arrivals; n++) {
      now = random() < comesIdle ? IDLE : RUNS;
      calls.begin("route");
    }
    now = RUNS;
    const begun = calls.begin("route");
    t.deepEqual([begun.own, begun.repeated], [own, repeated]);
  });
}

test("calls: routes are told apart", (t) => {
  const calls = rig(IDLE);
  calls.begin("callers");
  t.is(calls.begin("callers").own, 1);
  t.is(rig(RUNS).begin("other").own, 0.5);
});
