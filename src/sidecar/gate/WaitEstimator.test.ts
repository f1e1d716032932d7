import test from "ava";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import { SlotRequestQueue } from "./SlotRequestQueue.ts";
import { WaitEstimator } from "./WaitEstimator.ts";

/** Five slots and 500 ms of service time: a grant every 100 ms. */
const PACE = { msPerGrant: 500 / 5, serviceMs: 500 };

/** Latency objective of requests that are on time, and typical time of all, ms. */
const OBJECTIVE_MS = 1500;
const WORK_MS = 500;

const onTime = (attempt: string) => ({
  request: makeSlotRequest({ attempt, objectiveMs: OBJECTIVE_MS, typicalMs: WORK_MS }),
  receivedAt: 0,
});

const late = (attempt: string) => ({
  request: makeSlotRequest({ attempt, objectiveMs: 100, typicalMs: WORK_MS }),
  receivedAt: 0,
});

const cases: readonly {
  name: string;
  queued: readonly ReturnType<typeof onTime>[];
  /** For each earlier grant, whether its request was late. */
  lateGrants: readonly boolean[];
  waiting: ReturnType<typeof onTime>;
  waitMs: [min: number, max: number];
}[] = [
  {
    name: "a request that is alone in the queue waits for the next grant",
    queued: [],
    lateGrants: [],
    waiting: onTime("a"),
    waitMs: [100, 100],
  },
  {
    name: "half of the requests ahead use the grant of another gate",
    queued: Array.from({ length: 6 }, (_, n) => onTime(`a${n}`)),
    lateGrants: [],
    waiting: onTime("b"),
    waitMs: [400, 400],
  },
  {
    name: "a request on time does not wait for late ones",
    queued: Array.from({ length: 6 }, (_, n) => late(`a${n}`)),
    lateGrants: [],
    waiting: onTime("b"),
    waitMs: [100, 100],
  },
  {
    name: "a late request is served soon where other late ones were",
    queued: [late("a")],
    lateGrants: Array.from({ length: 20 }, () => true),
    waiting: late("b"),
    waitMs: [150, 150],
  },
  {
    // Under overload a late request is queued behind all that are on time. With its wait underestimated, it was held
    // until its deadline and only then refused.
    name: "a late request waits long where all slots go to requests on time",
    queued: [late("a")],
    lateGrants: Array.from({ length: 20 }, () => false),
    waiting: late("b"),
    waitMs: [3000, 4000],
  },
  {
    name: "a request that becomes late before it is served waits as long as late ones",
    queued: Array.from({ length: 30 }, (_, n) => onTime(`a${n}`)),
    lateGrants: Array.from({ length: 20 }, () => false),
    waiting: onTime("b"),
    waitMs: [3000, 5000],
  },
];

const nestedCallCases: readonly {
  name: string;
  callGrants: number;
  isNestedCall: boolean;
  waitMs: number;
}[] = [
  {
    name: "without nested calls a caller's request waits for the next grant",
    callGrants: 0,
    isNestedCall: false,
    waitMs: 100,
  },
  {
    name: "where half of the slots go to nested calls, a caller's request waits for two grants",
    callGrants: 10,
    isNestedCall: false,
    waitMs: 191,
  },
  // Where nested calls used nearly all of a target's capacity, downloads were queued until their deadlines.
  {
    name: "where nearly all slots go to nested calls, a caller's request waits long",
    callGrants: 18,
    isNestedCall: false,
    waitMs: 700,
  },
  {
    name: "a nested call does not wait for nested calls received later",
    callGrants: 18,
    isNestedCall: true,
    waitMs: 100,
  },
];

for (const { name, callGrants, isNestedCall, waitMs } of nestedCallCases) {
  test(`wait estimator: ${name}`, (t) => {
    const estimator = new WaitEstimator();
    for (let n = 0; n < 20; n++) {
      estimator.recordGrant({ isNestedCall: n < callGrants, isLate: false });
    }
    const request = makeSlotRequest({
      isNestedCall,
      objectiveMs: OBJECTIVE_MS,
      typicalMs: WORK_MS,
    });
    const ms = estimator.waitMs({ request, receivedAt: 0 }, new SlotRequestQueue(), 0, PACE);
    t.is(Math.round(ms), waitMs);
  });
}

for (const { name, queued, lateGrants, waiting, waitMs } of cases) {
  test(`wait estimator: ${name}`, (t) => {
    const estimator = new WaitEstimator();
    lateGrants.forEach((wasLate) => {
      estimator.recordGrant({ isNestedCall: false, isLate: wasLate });
    });
    const queue = new SlotRequestQueue();
    queued.forEach((ahead) => {
      queue.add(ahead);
    });
    const ms = estimator.waitMs(waiting, queue, 0, PACE);
    t.true(ms >= waitMs[0] && ms <= waitMs[1], `${ms} ms`);
  });
}

const fairCases: readonly {
  name: string;
  /** Workspaces of the queued requests, in order. */
  queued: string;
  /** Workspaces of the last 20 grants, repeated. */
  grants: string;
  waiting: string;
  waitMs: number;
}[] = [
  {
    name: "a request behind none of its workspace does not wait for later ones of others",
    queued: "aaaaaa",
    grants: "c",
    waiting: "b",
    waitMs: 100,
  },
  {
    // The wait that is reported to the sender would otherwise be that of a workspace that gets all slots.
    name: "a request behind its own workspace's waits for others that take three slots in four",
    queued: "aaaa",
    grants: "accc",
    waiting: "a",
    waitMs: 1050,
  },
  {
    name: "grants to workspaces that are queued already are counted by their queued requests alone",
    queued: "aaaacc",
    grants: "accc",
    waiting: "a",
    waitMs: 400,
  },
];

for (const { name, queued, grants, waiting, waitMs } of fairCases) {
  test(`wait estimator, fair sharing: ${name}`, (t) => {
    const request = (workspace: string, n: number) => ({
      request: makeSlotRequest({
        attempt: `${workspace}${n}`,
        workspace: WorkspaceName(workspace),
        objectiveMs: 10 * OBJECTIVE_MS,
        typicalMs: WORK_MS,
      }),
      receivedAt: n,
    });
    const estimator = new WaitEstimator();
    for (let n = 0; n < 20; n++) {
      const workspace = grants.charAt(n % grants.length);
      estimator.recordGrant({ isNestedCall: false, isLate: false, workspace });
    }
    const newcomer = request(waiting, queued.length);
    // All but the newcomer's own are served after it, unless its own are queued.
    const arrange = (all: readonly QueuedRequest[]) =>
      queued.includes(waiting) ? [...all] : [newcomer, ...all.filter((w) => w !== newcomer)];
    const queue = new SlotRequestQueue(undefined, arrange);
    for (let n = 0; n < queued.length; n++) {
      queue.add(request(queued.charAt(n), n));
    }
    const ms = estimator.waitMs(newcomer, queue, 0, { ...PACE, isFair: true });
    t.is(Math.round(ms), waitMs);
  });
}
