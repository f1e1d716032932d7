import test from "ava";
import bunyan from "bunyan";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { TrafficClassifier } from "./TrafficClassifier.ts";
import { RequestOrigin } from "./RequestOrigin.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const route = makeRoute({ name: "route" });

/** Requests that begin beside a target that is idle for `idleShare` of the time; `comesIdle` of them come then. */
function rig(idleShare: number, comesIdle: number) {
  const random = seededRandom(3);
  const weights: number[] = [];
  const calls = new TrafficClassifier({
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
    arrivals: 1000,
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

const origins: readonly {
  origin: RequestOrigin;
  arrivals: number;
  isOwn: boolean;
  isCall: boolean;
}[] = [
  { origin: RequestOrigin.TargetVm, arrivals: 1, isOwn: false, isCall: true },
  { origin: RequestOrigin.TargetVm, arrivals: 60, isOwn: false, isCall: true },
  { origin: RequestOrigin.Elsewhere, arrivals: 1, isOwn: true, isCall: false },
  { origin: RequestOrigin.Elsewhere, arrivals: 60, isOwn: true, isCall: false },
  { origin: RequestOrigin.Unknown, arrivals: 1, isOwn: false, isCall: false },
];

for (const { origin, arrivals, isOwn, isCall } of origins) {
  test(`calls: beside a busy target, after ${arrivals} from ${origin}, isOwn ${isOwn}, isCall ${isCall}`, (t) => {
    // Story: a sidecar's target is never idle, and nothing told calls from callers' own requests for the first
    // minute of each process: no lookup was sent a second time, since none gave leave for it.
    const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
    const calls = new TrafficClassifier({ runs, log });
    calls.begin(makeRoute({ name: "other" }), RequestOrigin.Elsewhere);
    for (let n = 1; n < arrivals; n++) {
      calls.begin(route, origin);
    }
    const begun = calls.begin(route, origin);
    t.is(begun.isOwn, isOwn);
    t.is(begun.isCall, isCall);
  });
}

test("calls: requests of one route are told apart by where they come from", (t) => {
  const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
  const calls = new TrafficClassifier({ runs, log });
  t.true(calls.begin(route, RequestOrigin.Elsewhere).isOwn);
  t.true(calls.begin(route, RequestOrigin.TargetVm).isCall);
});

test("calls: where all requests come from the target's address, that tells nothing", (t) => {
  // Story: on some platforms callers reach the sidecar from its own VM. All of their requests were taken for calls.
  const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
  const calls = new TrafficClassifier({ runs, log });
  const begun = calls.begin(route, RequestOrigin.TargetVm);
  t.false(begun.isCall);
  t.false(begun.isOwn);
});

test("calls: callers at the target's own address are found to be callers", (t) => {
  const runs = { count: 0, idleShare: 0.5, beginCall: () => () => undefined };
  const calls = new TrafficClassifier({ runs, log });
  calls.begin(makeRoute({ name: "other" }), RequestOrigin.Elsewhere);
  for (let n = 0; n < 3; n++) {
    calls.begin(route, RequestOrigin.TargetVm);
  }
  t.true(calls.begin(route, RequestOrigin.TargetVm).isOwn);
});

test("calls: routes are told apart", (t) => {
  const runs = { count: 0, idleShare: 0.2, beginCall: () => () => undefined };
  const calls = new TrafficClassifier({ runs, log });
  calls.begin(route);
  t.true(calls.begin(route).isOwn);
  runs.count = 4;
  t.true(calls.begin(route).isOwn);
  t.false(calls.begin(makeRoute({ name: "other" })).isOwn);
});
