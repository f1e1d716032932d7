import test from "ava";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { CallTraffic } from "./CallTraffic.ts";

/** A target that has nothing to do for a fifth of the time; a quarter of its runs repeat another. */
const IDLE_SHARE = 0.2;
const RUNS = { count: 4, repeats: 1, idleShare: IDLE_SHARE };
const IDLE = { count: 0, repeats: 0, idleShare: IDLE_SHARE };

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
    const calls = new CallTraffic({
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
      calls.note("route");
    }
    now = RUNS;
    t.deepEqual(calls.note("route"), { own, repeated });
  });
}

test("calls: routes are told apart", (t) => {
  const calls = new CallTraffic(IDLE);
  calls.note("callers");
  t.is(calls.note("callers").own, 1);
  t.is(new CallTraffic(RUNS).note("other").own, 0.5);
});
