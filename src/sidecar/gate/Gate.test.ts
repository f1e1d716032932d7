import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { Service } from "../../common/document/Service.ts";
import { WorkspaceName } from "../../common/ids/WorkspaceName.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { GrayFailureDetector } from "../detection/GrayFailureDetector.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { FairRefusal } from "../fairness/FairShares.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { LimitSignal } from "../signals/LimitSignal.ts";
import { Gate } from "./Gate.ts";
import { GrantIds } from "./GrantIds.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** How long an unused grant is valid, ms; as in the gate. */
const GRANT_TTL_MS = 250;

/** A gate to a target with `slots`; replies are recorded by attempt. */
function rig(
  slots = 2,
  detector: HealthDetector = AlwaysHealthyDetector,
  clock = new FakeClock(),
  maxRequestBytes?: number,
) {
  const target = { slots, acceptsRequests: true, isPresent: true, maxRequestBytes };
  const gate = new Gate({
    target: () => (target.isPresent ? target : undefined),
    detector,
    clock,
    grants: new GrantIds("b"),
  });
  const replies = new Map<string, SlotReply>();
  const requestSlot = (attempt: string, overrides: Parameters<typeof makeSlotRequest>[0] = {}) =>
    gate.requestSlot(makeSlotRequest({ attempt, ...overrides }), (reply) =>
      replies.set(attempt, reply),
    );
  const grantOf = (attempt: string): GrantId => {
    const reply = replies.get(attempt);
    return reply?.kind === "granted" ? reply.grant : GrantId("none");
  };
  const run = (attempt: string, ms: number) => {
    gate.redeem(grantOf(attempt));
    clock.after(ms, () => {
      gate.end(grantOf(attempt), AttemptOutcome.Ok);
    });
  };
  const replyTo = (attempt: string): string => {
    const reply = replies.get(attempt);
    return reply?.kind === "refused" ? reply.reason : (reply?.kind ?? "waits");
  };
  return { clock, target, gate, replies, requestSlot, grantOf, run, replyTo };
}

test("gate: never grants more slots than the target has", async (t) => {
  const { clock, gate, requestSlot, run, replyTo } = rig(2);
  for (const attempt of ["a", "b", "c"]) {
    requestSlot(attempt);
  }
  t.deepEqual(["a", "b", "c"].map(replyTo), ["granted", "granted", "waits"]);
  run("a", 100);
  run("b", 200);
  await clock.advance(100);
  t.is(replyTo("c"), "granted");
  t.is(gate.load.busy, 2);
});

test("gate: the bodies of the requests at a target stay within what it can hold", async (t) => {
  // Guards against a target that crashes as the requests that it holds exceed its memory.
  const { clock, requestSlot, run, replyTo } = rig(2, undefined, undefined, 100);
  requestSlot("too large", { bodyBytes: 101 });
  requestSlot("a", { bodyBytes: 60 });
  requestSlot("beside a", { bodyBytes: 60 });
  requestSlot("b", { bodyBytes: 40 });
  requestSlot("queued", { bodyBytes: 60 });
  requestSlot("without a body");
  const before = ["too large", "a", "beside a", "b", "queued", "without a body"].map(replyTo);
  t.deepEqual(before, ["full", "granted", "full", "granted", "waits", "waits"]);
  run("b", 10);
  run("a", 20);
  await clock.advance(10);
  t.deepEqual(["queued", "without a body"].map(replyTo), ["full", "granted"]);
});

test("gate: an unused grant expires and its slot goes to the next request", async (t) => {
  // The sidecar that was granted the slot is killed before it uses it. The slot must not stay idle.
  const { clock, gate, requestSlot, replyTo, grantOf } = rig(1);
  requestSlot("a");
  requestSlot("b");
  await clock.advance(GRANT_TTL_MS);
  t.is(replyTo("b"), "granted");
  t.is(gate.redeem(grantOf("a")), undefined, "the first grant has expired");
  t.truthy(gate.redeem(grantOf("b")));
});

test("gate: withdrawing a request frees its place in the queue or its slot", (t) => {
  const { gate, requestSlot, replyTo } = rig(1);
  const first = requestSlot("a");
  const second = requestSlot("b");
  requestSlot("c");
  second.withdraw();
  first.withdraw();
  t.deepEqual(["b", "c"].map(replyTo), ["waits", "granted"]);
  t.is(gate.load.queued, 0);
});

test("gate: refuses a request that cannot meet its deadline at once, with a time to retry after", async (t) => {
  // All slots are in use by runs of 100 ms, and the request has 60 ms left.
  const { clock, requestSlot, run, replyTo, replies } = rig(1);
  for (let i = 0; i < 40; i++) {
    requestSlot(`warm-${String(i)}`);
    run(`warm-${String(i)}`, 100);
    await clock.advance(100);
  }
  requestSlot("a");
  run("a", 100);
  requestSlot("late", { remainingMs: 60 });
  requestSlot("patient", { remainingMs: 1000 });
  t.deepEqual(["late", "patient"].map(replyTo), ["full", "waits"]);
  const reply = replies.get("late");
  t.true(reply?.kind === "refused" && reply.retryAfterMs > 50 && reply.retryAfterMs < 200);
});

test("gate: the queue length is bounded by the number of slots", (t) => {
  const { requestSlot, replyTo } = rig(1);
  requestSlot("running");
  for (let i = 0; i < 20; i++) {
    requestSlot(`q-${String(i)}`, { remainingMs: 60_000 });
  }
  const waiting = Array.from({ length: 20 }, (_, i) => replyTo(`q-${String(i)}`));
  t.is(waiting.filter((s) => s === "waits").length, 8);
  t.is(waiting.filter((s) => s === "full").length, 12);
});

/** Slot requests to a gate whose sidecar exits in `untilExitMs`; times in ms. */
const shutdownCases: readonly {
  what: string;
  untilExitMs: number;
  typicalMs: number;
  isRetryable: boolean;
  remainingMs?: number;
  expected: string;
}[] = [
  {
    what: "fits before the exit",
    untilExitMs: 3000,
    typicalMs: 500,
    isRetryable: false,
    expected: "granted",
  },
  {
    what: "may not end before the exit",
    untilExitMs: 2000,
    typicalMs: 500,
    isRetryable: false,
    expected: "leaving",
  },
  {
    what: "is retryable and may be cut short",
    untilExitMs: 2000,
    typicalMs: 500,
    isRetryable: true,
    expected: "granted",
  },
  {
    what: "is retryable and will be cut short",
    untilExitMs: 1000,
    typicalMs: 500,
    isRetryable: true,
    expected: "leaving",
  },
  {
    what: "ends by its deadline before the exit",
    untilExitMs: 1000,
    typicalMs: 500,
    isRetryable: false,
    remainingMs: 900,
    expected: "granted",
  },
];

for (const { what, untilExitMs, expected, ...overrides } of shutdownCases) {
  test(`gate: while the sidecar is being stopped, a run that ${what} gets the reply "${expected}"`, async (t) => {
    const { clock, gate, requestSlot, replyTo } = rig(1);
    gate.closeBy(4000);
    await clock.advance(4000 - untilExitMs);
    requestSlot("a", { remainingMs: 10_000, ...overrides });
    t.is(replyTo("a"), expected);
    t.is(gate.load.endsInMs, untilExitMs);
  });
}

/** Requests of 1 s or 10 s to a target whose sidecar exits in 3 s, after runs of which some had streamed responses. */
const streamCases: readonly {
  what: string;
  streamMs: readonly number[];
  laterRuns: number;
  remainingMs: number;
  expected: string;
}[] = [
  { what: "none", streamMs: [], laterRuns: 64, remainingMs: 10_000, expected: "granted" },
  { what: "short ones", streamMs: [900], laterRuns: 64, remainingMs: 10_000, expected: "granted" },
  { what: "long ones", streamMs: [4000], laterRuns: 64, remainingMs: 10_000, expected: "leaving" },
  {
    what: "long ones, none lately",
    streamMs: [4000],
    laterRuns: 256,
    remainingMs: 10_000,
    expected: "granted",
  },
  {
    what: "long ones, but a close deadline",
    streamMs: [4000],
    laterRuns: 64,
    remainingMs: 1000,
    expected: "granted",
  },
];

for (const { what, streamMs, laterRuns, remainingMs, expected } of streamCases) {
  test(`gate: while the sidecar is being stopped, a lookup after streamed responses (${what}) gets the reply "${expected}"`, async (t) => {
    // Guards against a stop that cuts a response while it is streamed, and against a target that idles for an old one.
    const { clock, gate, requestSlot, run, replyTo } = rig(1);
    streamMs.forEach((ms) => {
      gate.recordStreamEnd(AttemptOutcome.Ok, ms);
    });
    for (let n = 0; n < laterRuns; n++) {
      requestSlot(`earlier-${n}`);
      run(`earlier-${n}`, 100);
      await clock.advance(100);
    }
    gate.closeBy(clock.now() + 3000);
    requestSlot("a", { remainingMs });
    t.is(replyTo("a"), expected);
  });
}

test("gate: while the sidecar is being stopped, it knows of a long run although the target has refused many requests since", async (t) => {
  // Guards against a stop that cuts a booking at a target that sheds load.
  const { clock, gate, requestSlot, grantOf, run, replyTo } = rig(1);
  const booking = { isIdempotent: false, isRetryable: false, remainingMs: 10_000 };
  requestSlot("long", booking);
  run("long", 3000);
  await clock.advance(3000);
  for (let n = 0; n < 300; n++) {
    requestSlot(`refused-${n}`, booking);
    gate.redeem(grantOf(`refused-${n}`));
    gate.end(grantOf(`refused-${n}`), AttemptOutcome.Shed);
    await clock.advance(1000);
  }
  gate.closeBy(clock.now() + 2500);
  requestSlot("a", booking);
  t.is(replyTo("a"), "leaving");
});

test("gate: refuses queued requests as soon as they cannot end before the sidecar exits", async (t) => {
  const { clock, gate, requestSlot, run, replyTo } = rig(1);
  gate.closeBy(4000);
  requestSlot("a", { remainingMs: 10_000, typicalMs: 400 });
  run("a", 3900);
  requestSlot("b", { remainingMs: 10_000, typicalMs: 400, isRetryable: false });
  t.is(replyTo("b"), "waits");
  await clock.advance(1900);
  t.is(replyTo("b"), "leaving");
});

test("gate: refuses queued and new requests at once when the target is leaving", (t) => {
  const { target, gate, requestSlot, run, replyTo } = rig(1);
  requestSlot("a");
  run("a", 500);
  requestSlot("b");
  target.acceptsRequests = false;
  gate.reevaluateQueue();
  requestSlot("c");
  t.deepEqual(["b", "c"].map(replyTo), ["leaving", "leaving"]);
  t.true(gate.isBusy, "runs in progress continue");
});

test("gate: refuses queued and new requests once closed", (t) => {
  const { gate, requestSlot, replyTo } = rig(1);
  requestSlot("a");
  requestSlot("b");
  gate.close();
  requestSlot("c");
  t.deepEqual(["b", "c"].map(replyTo), ["leaving", "leaving"]);
});

test("gate: refuses queued requests that cannot be retried once the target is suspect", (t) => {
  // Two bookings run at a target and a third is queued. One run fails and the target becomes suspect. The third must
  // neither get the free slot nor go on waiting for a target that does not admit it.
  const detector = {
    ...AlwaysHealthyDetector,
    isSuspect: false,
    admits: () => !detector.isSuspect,
  };
  detector.recordOutcome = () => (detector.isSuspect = true);
  const { gate, requestSlot, replyTo, grantOf } = rig(2, detector);
  requestSlot("a");
  requestSlot("b");
  requestSlot("c", { isRetryable: false });
  gate.redeem(grantOf("a"));
  gate.end(grantOf("a"), AttemptOutcome.Failed);
  t.is(replyTo("c"), "suspect");
});

test("gate: refuses a queued request once the risk of the target exceeds what it accepts", async (t) => {
  // While the healthy targets lack capacity, a booking that accepts a failure probability of one half is queued at a
  // target that has failed one request. The target also fails the next one, and every slot freed by a failure went to
  // another queued request: two targets known to be failing failed 39 and 55 bookings in a row within a second.
  const rule = Service.parse({ name: "svc" }).detection;
  const clock = new FakeClock();
  const detector = new GrayFailureDetector({ rule: () => rule, clock, log });
  const { gate, requestSlot, replyTo, grantOf } = rig(1, detector, clock);
  await clock.advance(500);
  detector.recordOutcome(AttemptOutcome.Failed, 1, 0);
  requestSlot("a", { acceptsRisk: 0.8, isRetryable: false });
  requestSlot("b", { acceptsRisk: 0.8, isRetryable: false });
  requestSlot("any", { acceptsRisk: 1, isRetryable: false });
  t.deepEqual(["a", "b", "any"].map(replyTo), ["granted", "waits", "waits"]);
  gate.redeem(grantOf("a"));
  gate.end(grantOf("a"), AttemptOutcome.Failed);
  t.is(replyTo("b"), "suspect");
  t.is(replyTo("any"), "granted");
});

/** Requests to a suspect target that has been idle for long, while many requests of its service are not served. */
const idleCases: readonly { name: string; isIdempotent: boolean; idleMs: number; reply: string }[] =
  [
    { name: "a lookup after 0.6 s", isIdempotent: true, idleMs: 600, reply: "granted" },
    { name: "no booking after 0.6 s", isIdempotent: false, idleMs: 600, reply: "suspect" },
    { name: "a booking after 1.3 s", isIdempotent: false, idleMs: 1300, reply: "granted" },
  ];

for (const { name, isIdempotent, idleMs, reply } of idleCases) {
  test(`gate: a suspect target is not left without work while its service fails: ${name}`, async (t) => {
    const detector = { ...AlwaysHealthyDetector, isSuspect: true, risk: 0.4, admits: () => false };
    const { clock, gate, requestSlot, replyTo } = rig(2, detector);
    await clock.advance(idleMs);
    requestSlot("a", { isIdempotent, isRetryable: false, unservedShare: 0.15 });
    t.is(replyTo("a"), reply);
    requestSlot("b", { isIdempotent, isRetryable: false, unservedShare: 0.15 });
    t.is(replyTo("b"), "suspect", "one request at a time");
    t.is(gate.load.wantsWork, true);
  });
}

test("gate: publishes that its target wants work until it has some", async (t) => {
  const published: boolean[] = [];
  const clock = new FakeClock();
  const gate = new Gate({
    target: () => ({ slots: 1, acceptsRequests: true }),
    detector: AlwaysHealthyDetector,
    clock,
    grants: new GrantIds("b"),
    onDemandChange: (load) => published.push(load.wantsWork),
  });
  for (let ms = 0; ms < 1400; ms += 200) {
    gate.updateDemand();
    await clock.advance(200);
  }
  t.deepEqual(published, [true, true], "at 0.6 s and again at 1.2 s");
  gate.requestSlot(makeSlotRequest(), (reply) => {
    gate.redeem(reply.kind === "granted" ? reply.grant : GrantId("none"));
  });
  t.deepEqual(published, [true, true, false]);
});

test("gate: refuses requests for a target that is gone", (t) => {
  const { target, requestSlot, replyTo } = rig(1);
  target.isPresent = false;
  requestSlot("a");
  t.is(replyTo("a"), "no-target");
});

test("gate: refuses a second slot for an attempt that has one", (t) => {
  const { requestSlot, replyTo } = rig(2);
  requestSlot("a");
  requestSlot("a");
  t.is(replyTo("a"), "duplicate");
});

test("gate: does not grant a slot to a queued request whose deadline has passed", async (t) => {
  const { clock, requestSlot, run, replyTo } = rig(1);
  requestSlot("a");
  run("a", 700);
  requestSlot("short", { remainingMs: 650, priority: 0 });
  requestSlot("long", { remainingMs: 5000 });
  await clock.advance(700);
  t.deepEqual(["short", "long"].map(replyTo), ["waits", "granted"]);
});

test("gate: reports an overdue run to the detector while it is in progress", async (t) => {
  // A target hangs. This must be noticed long before the deadlines of its first runs.
  let overdue = 0;
  const detector: HealthDetector = {
    ...AlwaysHealthyDetector,
    recordOverdue: () => (overdue += 1),
  };
  const { clock, gate, requestSlot, grantOf } = rig(2, detector);
  requestSlot("a", { typicalMs: 100 });
  gate.redeem(grantOf("a"));
  await clock.advance(299);
  t.is(overdue, 0);
  await clock.advance(1);
  t.is(overdue, 1);
});

test("gate: refuses a queued request that can no longer be served in time while another target could serve it", async (t) => {
  // Under overload late requests are served last, and were held until the timeout of their route: in a simulated day
  // 24 lookups waited 6 s only to be refused.
  const { clock, requestSlot, run, replyTo } = rig(1);
  requestSlot("first");
  run("first", 300);
  requestSlot("late", { remainingMs: 5000, objectiveMs: 200, typicalMs: 300 });
  for (let n = 0; n < 20 && replyTo("late") === "waits"; n++) {
    requestSlot(`next-${n}`, { remainingMs: 5000, objectiveMs: 1500, typicalMs: 300 });
    await clock.advance(300);
    run(`next-${n}`, 300);
  }
  t.is(replyTo("late"), "full");
  t.true(clock.now() < 4000, `${clock.now()} ms`);
});

for (const { name, bodyBytes, afterMs, isValid } of [
  {
    name: "without a body expires after 250 ms",
    bodyBytes: 0,
    afterMs: 260,
    isValid: false,
  },
  {
    name: "with a body of 60 KB is valid long enough for its upload",
    bodyBytes: 60_000,
    afterMs: 800,
    isValid: true,
  },
  {
    name: "with a body of 60 KB expires in the end",
    bodyBytes: 60_000,
    afterMs: 900,
    isValid: false,
  },
]) {
  test(`gate: the grant of a request ${name}`, async (t) => {
    // On links of a few Mbit/s a map of 60 KB that is sent after another one takes half a second. Its grant had expired
    // by then.
    const { clock, gate, requestSlot, grantOf } = rig(1);
    requestSlot("a", { bodyBytes, remainingMs: 10_000 });
    await clock.advance(afterMs);
    t.is(gate.redeem(grantOf("a")) !== undefined, isValid);
  });
}

const LIMIT: LimitSignal = { kind: "limit", perS: 2 };
const NO_LIMIT: LimitSignal = { kind: "none" };

test("gate: a target with free slots is granted no more requests than its limit allows", async (t) => {
  const { clock, gate, requestSlot, run, replies, grantOf } = rig(4);
  gate.recordLimit(LIMIT, 0);
  let granted = 0;
  for (let n = 0; n < 100; n++) {
    requestSlot(`a${n}`, { remainingMs: 3000 });
    await clock.advance(40);
    const started = [...replies.keys()].filter((attempt) => gate.isPending(grantOf(attempt)));
    granted += started.length;
    started.forEach((attempt) => {
      run(attempt, 10);
    });
  }
  t.true(granted >= 6 && granted <= 9, `${granted} in 4 s`);
});

const limitCases: readonly {
  name: string;
  act: (r: ReturnType<typeof rig>) => Promise<void> | void;
  replies: readonly string[];
}[] = [
  {
    name: "a raised limit grants queued requests at once",
    act: async ({ clock, gate, requestSlot }) => {
      gate.recordLimit({ kind: "limit", perS: 0 }, 0);
      requestSlot("a", { remainingMs: 5000 });
      await clock.advance(200);
      gate.recordLimit({ kind: "limit", perS: 1000 }, 200);
      await clock.advance(2);
    },
    replies: ["granted"],
  },
  {
    name: "a limit that is no longer named grants queued requests at once",
    act: async ({ clock, gate, requestSlot }) => {
      gate.recordLimit(LIMIT, 0);
      requestSlot("a", { remainingMs: 3000 });
      requestSlot("b", { remainingMs: 3000 });
      await clock.advance(100);
      gate.recordLimit(NO_LIMIT, 100);
    },
    replies: ["granted", "granted"],
  },
  {
    name: "a request that the limit cannot serve before its deadline is refused at once",
    act: ({ gate, requestSlot }) => {
      gate.recordLimit(LIMIT, 0);
      requestSlot("a", { remainingMs: 600 });
    },
    replies: ["limited"],
  },
  {
    name: "the more urgent of two requests goes first",
    act: async ({ clock, gate, requestSlot }) => {
      gate.recordLimit(LIMIT, 0);
      requestSlot("a", { priority: 3, remainingMs: 5000 });
      requestSlot("b", { priority: 0, remainingMs: 5000 });
      await clock.advance(500);
    },
    replies: ["waits", "granted"],
  },
  {
    name: "a gate that has not seen a response keeps to the limit that a sender knows",
    act: ({ requestSlot }) => {
      requestSlot("a", { limitPerS: 2 });
    },
    replies: ["waits"],
  },
  {
    name: "an expired grant does not count against the limit",
    act: async ({ clock, gate, requestSlot }) => {
      gate.recordLimit(LIMIT, 0);
      requestSlot("a", { remainingMs: 5000 });
      await clock.advance(500 + GRANT_TTL_MS);
      requestSlot("b");
    },
    replies: ["granted", "granted"],
  },
];

for (const { name, act, replies } of limitCases) {
  test(`gate, limit: ${name}`, async (t) => {
    const r = rig(4);
    await act(r);
    t.deepEqual(["a", "b"].slice(0, replies.length).map(r.replyTo), [...replies]);
  });
}

test("gate, limit: a refusal says when the limit allows a further request", (t) => {
  const { gate, requestSlot, replies } = rig(4);
  gate.recordLimit(LIMIT, 0);
  requestSlot("a", { remainingMs: 600 });
  const reply = replies.get("a");
  t.is(reply?.kind === "refused" && reply.retryAfterMs, 500);
  t.like(reply?.load, { limitPerS: 2, limitWaitMs: 500 });
});

/** A gate with one slot, in use, that shares slot time fairly while `state.isFair`; names as "a1" give the workspace. */
function fairRig() {
  const clock = new FakeClock();
  const state = { isFair: true };
  const refusals: FairRefusal[] = [];
  const gate = new Gate({
    target: () => ({ slots: 1, acceptsRequests: true }),
    detector: AlwaysHealthyDetector,
    clock,
    grants: new GrantIds("b"),
    fairShareRule: () => (state.isFair ? { weightOf: () => 1 } : undefined),
    onFairRefusal: (refusal) => refusals.push(refusal),
  });
  const replies = new Map<string, SlotReply>();
  const requestSlot = (attempt: string, over: Parameters<typeof makeSlotRequest>[0] = {}) => {
    const workspace = WorkspaceName(attempt.slice(0, 1));
    const defaults = { attempt, workspace, remainingMs: 60_000, objectiveMs: 20_000 };
    gate.requestSlot(makeSlotRequest({ ...defaults, ...over }), (reply) =>
      replies.set(attempt, reply),
    );
  };
  const replyTo = (attempt: string) => {
    const reply = replies.get(attempt);
    return reply?.kind === "refused" ? reply.reason : (reply?.kind ?? "waits");
  };
  for (let n = 0; n < 9; n++) {
    requestSlot(`a${n}`);
  }
  return { clock, state, gate, refusals, replies, requestSlot, replyTo };
}

test("gate, fair shares: a full queue refuses a request of the workspace over its share for one under it", (t) => {
  const { refusals, replies, requestSlot, replyTo } = fairRig();
  requestSlot("b1");
  t.deepEqual(["a0", "a1", "a7", "a8", "b1"].map(replyTo), [
    "granted",
    "waits",
    "waits",
    "full",
    "waits",
  ]);
  const reply = replies.get("a8");
  // Seven of its workspace and the newcomer are served before, half of them here, at 300 ms each.
  t.is(reply?.kind === "refused" && reply.retryAfterMs, 1350);
  t.like(refusals, [{ workspace: "a", share: 0.9, fairShare: 0.5, weight: 1 }]);
  requestSlot("a9");
  t.is(replyTo("a9"), "full");
  t.is(refusals.length, 2, "a newcomer over its share is reported as well");
});

test("gate, fair shares: a request under its share is not refused for the backlog of another workspace", (t) => {
  // The wait behind all queued requests would be 1.5 s. In the order of fair sharing it is first.
  const { state, requestSlot, replyTo } = fairRig();
  requestSlot("b1", { remainingMs: 1000, typicalMs: 300 });
  t.is(replyTo("b1"), "waits");
  state.isFair = false;
  requestSlot("b2", { remainingMs: 1000, typicalMs: 300 });
  t.is(replyTo("b2"), "full");
});

test("gate, fair shares: when switched on, queued requests are served in the fair order at once", async (t) => {
  const { clock, state, gate, replies, requestSlot, replyTo } = fairRig();
  const end = (attempt: string) => {
    const reply = replies.get(attempt);
    const grant = reply?.kind === "granted" ? reply.grant : GrantId("none");
    gate.redeem(grant);
    gate.end(grant, AttemptOutcome.Ok);
  };
  requestSlot("b1");
  state.isFair = false;
  end("a0");
  t.deepEqual(["a1", "b1"].map(replyTo), ["granted", "waits"]);
  state.isFair = true;
  await clock.advance(10);
  end("a1");
  t.deepEqual(["a2", "b1"].map(replyTo), ["waits", "granted"]);
});
