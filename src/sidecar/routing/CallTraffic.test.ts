import test from "ava";
import bunyan from "bunyan";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { CallTraffic } from "./CallTraffic.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const route = makeRoute({ name: "route" });

/** Requests that begin beside a target that is idle for `idleShare` of the time; `comesIdle` of them come then. */
function rig(idleShare: number, comesIdle: number) {
  const random = seededRandom(3);
  const weights: number[] = [];
  const calls = new CallTraffic({
    runs: {
      get count() {
        return random() < comesIdle ? 0 : 4;
      },
      idleShare,
      beginCall: ({ weight }) => {
        weights.push(weight);
        return () => undefined;
      },
    },
    log,
  });
  const note = (arrivals: number) => {
    let isOwn = false;
    for (let n = 0; n < arrivals; n++) {
      isOwn = calls.begin(route).isOwn;
    }
    return isOwn;
  };
  return { note, weights };
}

const cases: readonly {
  name: string;
  idleShare: number;
  /** Share of the route's requests that come while the target has nothing to do. */
  comesIdle: number;
  arrivals: number;
  isOwn: boolean;
  /** How much the last one counts as a call; undefined for a caller's own. */
  weight: number | undefined;
}[] = [
  {
    name: "callers' own requests come at any time",
    idleShare: 0.2,
    comesIdle: 0.2,
    arrivals: 60,
    isOwn: true,
    weight: undefined,
  },
  {
    name: "calls come only while a run is under way",
    idleShare: 0.2,
    comesIdle: 0,
    arrivals: 60,
    isOwn: false,
    weight: 1,
  },
  {
    name: "a few strays do not make calls callers' own",
    idleShare: 0.2,
    comesIdle: 0.01,
    arrivals: 300,
    isOwn: false,
    weight: 1,
  },
  {
    name: "a route that is new may be either, and gives no leave for extras",
    idleShare: 0.2,
    comesIdle: 0,
    arrivals: 5,
    isOwn: false,
    weight: 0.5,
  },
  {
    name: "beside a target that is hardly ever idle, callers' own are not taken for calls",
    idleShare: 0,
    comesIdle: 0,
    arrivals: 60,
    isOwn: false,
    weight: 0.5,
  },
];

for (const { name, idleShare, comesIdle, arrivals, isOwn, weight } of cases) {
  test(`calls: ${name}`, (t) => {
    const { note, weights } = rig(idleShare, comesIdle);
    t.is(note(arrivals), isOwn);
    t.is(isOwn ? undefined : weights.at(-1), weight);
  });
}

test("calls: routes are told apart", (t) => {
  const runs = { count: 0, idleShare: 0.2, beginCall: () => () => undefined };
  const calls = new CallTraffic({ runs, log });
  calls.begin(route);
  t.true(calls.begin(route).isOwn);
  runs.count = 4;
  t.true(calls.begin(route).isOwn);
  t.false(calls.begin(makeRoute({ name: "other" })).isOwn);
});
