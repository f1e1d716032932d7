import test from "ava";
import bunyan from "bunyan";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { TrafficClassifier } from "./TrafficClassifier.ts";
import { RequestOrigin } from "./RequestOrigin.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

const route = makeRoute({ name: "route" });

/**
 * A classifier local to a target that is idle for `idleShare` of the time; `idleArrivals` of the requests arrive then.
 */
function rig(idleShare: number, idleArrivals: number) {
  const random = seededRandom(3);
  const weights: number[] = [];
  const classifier = new TrafficClassifier({
    runs: {
      get count() {
        return random() < idleArrivals ? 0 : 4;
      },
      idleShare,
      beginCall: ({ weight }) => {
        weights.push(weight);
        return () => undefined;
      },
    },
    log,
  });
  const receive = (arrivals: number) => {
    let isFromCaller = false;
    for (let n = 0; n < arrivals; n++) {
      isFromCaller = classifier.begin(route).isFromCaller;
    }
    return isFromCaller;
  };
  return { receive, weights };
}

const cases: readonly {
  name: string;
  idleShare: number;
  /** Fraction of the route's requests that arrive while the target is idle. */
  idleArrivals: number;
  arrivals: number;
  isFromCaller: boolean;
  /** Weight of the last request as a nested call; undefined for a caller's request. */
  weight: number | undefined;
}[] = [
  {
    name: "requests that also arrive while the target is idle are callers' requests",
    idleShare: 0.2,
    idleArrivals: 0.2,
    arrivals: 60,
    isFromCaller: true,
    weight: undefined,
  },
  {
    name: "requests that arrive only during runs are nested calls",
    idleShare: 0.2,
    idleArrivals: 0,
    arrivals: 60,
    isFromCaller: false,
    weight: 1,
  },
  {
    name: "a few arrivals outside runs do not turn nested calls into callers' requests",
    idleShare: 0.2,
    idleArrivals: 0.01,
    arrivals: 300,
    isFromCaller: false,
    weight: 1,
  },
  {
    name: "requests of a new route are undecided, and earn no retry budget",
    idleShare: 0.2,
    idleArrivals: 0,
    arrivals: 5,
    isFromCaller: false,
    weight: 0.5,
  },
  {
    name: "callers' requests to a target that is never idle are not classified as nested calls",
    idleShare: 0,
    idleArrivals: 0,
    arrivals: 1000,
    isFromCaller: false,
    weight: 0.5,
  },
];

for (const { name, idleShare, idleArrivals, arrivals, isFromCaller, weight } of cases) {
  test(`traffic: ${name}`, (t) => {
    const { receive, weights } = rig(idleShare, idleArrivals);
    t.is(receive(arrivals), isFromCaller);
    t.is(isFromCaller ? undefined : weights.at(-1), weight);
  });
}

const origins: readonly {
  origin: RequestOrigin;
  arrivals: number;
  isFromCaller: boolean;
  isNestedCall: boolean;
}[] = [
  { origin: RequestOrigin.TargetVm, arrivals: 1, isFromCaller: false, isNestedCall: true },
  { origin: RequestOrigin.TargetVm, arrivals: 60, isFromCaller: false, isNestedCall: true },
  { origin: RequestOrigin.Elsewhere, arrivals: 1, isFromCaller: true, isNestedCall: false },
  { origin: RequestOrigin.Elsewhere, arrivals: 60, isFromCaller: true, isNestedCall: false },
  { origin: RequestOrigin.Unknown, arrivals: 1, isFromCaller: false, isNestedCall: false },
];

for (const { origin, arrivals, isFromCaller, isNestedCall } of origins) {
  test(`traffic: busy target, request ${arrivals} from ${origin}: isFromCaller ${isFromCaller}, isNestedCall ${isNestedCall}`, (t) => {
    // The local target is hardly ever idle. Guards against leaving callers' requests unclassified for the first minute
    // of each process: lookups were not retried then, since no request earned retry budget.
    const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
    const classifier = new TrafficClassifier({ runs, log });
    classifier.begin(makeRoute({ name: "other" }), RequestOrigin.Elsewhere);
    for (let n = 1; n < arrivals; n++) {
      classifier.begin(route, origin);
    }
    const classified = classifier.begin(route, origin);
    t.is(classified.isFromCaller, isFromCaller);
    t.is(classified.isNestedCall, isNestedCall);
  });
}

test("traffic: requests of one route are classified separately by origin", (t) => {
  const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
  const classifier = new TrafficClassifier({ runs, log });
  t.true(classifier.begin(route, RequestOrigin.Elsewhere).isFromCaller);
  t.true(classifier.begin(route, RequestOrigin.TargetVm).isNestedCall);
});

test("traffic: the target's address is no evidence while all requests come from it", (t) => {
  // Guards against classifying callers' requests as nested calls where callers reach the sidecar from its own VM, as
  // on some platforms.
  const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
  const classifier = new TrafficClassifier({ runs, log });
  const classified = classifier.begin(route, RequestOrigin.TargetVm);
  t.false(classified.isNestedCall);
  t.false(classified.isFromCaller);
});

test("traffic: callers that share the target's address are recognized by requests outside runs", (t) => {
  const runs = { count: 0, idleShare: 0.5, beginCall: () => () => undefined };
  const classifier = new TrafficClassifier({ runs, log });
  classifier.begin(makeRoute({ name: "other" }), RequestOrigin.Elsewhere);
  for (let n = 0; n < 3; n++) {
    classifier.begin(route, RequestOrigin.TargetVm);
  }
  t.true(classifier.begin(route, RequestOrigin.TargetVm).isFromCaller);
});

test("traffic: each route is classified on its own", (t) => {
  const runs = { count: 0, idleShare: 0.2, beginCall: () => () => undefined };
  const classifier = new TrafficClassifier({ runs, log });
  classifier.begin(route);
  t.true(classifier.begin(route).isFromCaller);
  runs.count = 4;
  t.true(classifier.begin(route).isFromCaller);
  t.false(classifier.begin(makeRoute({ name: "other" })).isFromCaller);
});

const proofs = [
  { proven: RequestOrigin.Keyed, isFromCaller: true, isNestedCall: false },
  { proven: RequestOrigin.TargetWithoutKey, isFromCaller: false, isNestedCall: true },
];

for (const { proven, isFromCaller, isNestedCall } of proofs) {
  test(`traffic: a request that is proven ${proven} is classified at once, whatever its address`, (t) => {
    // Guards against requests with keys that earn no retry budget, as they were taken for nested calls.
    const runs = { count: 4, idleShare: 0.05, beginCall: () => () => undefined };
    const classifier = new TrafficClassifier({ runs, log });
    const classified = classifier.begin(route, RequestOrigin.TargetVm, proven);
    t.is(classified.isFromCaller, isFromCaller);
    t.is(classified.isNestedCall, isNestedCall);
  });
}
