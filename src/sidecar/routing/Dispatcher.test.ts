import { PassThrough } from "node:stream";
import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { FakeHop, granted, refused } from "../../../test/fixtures/FakeHop.ts";
import { FixedPolicy } from "../../../test/fixtures/FixedPolicy.ts";
import { makeCallerRequest } from "../../../test/fixtures/makeCallerRequest.ts";
import { makeQuarantine } from "../../../test/fixtures/makeQuarantine.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { results } from "../../../test/fixtures/results.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import { fingerprintOf } from "../quarantine/fingerprintOf.ts";
import { HedgeRule } from "../hedging/HedgeRule.ts";
import type { HedgeReport } from "../hedging/HedgeReport.ts";
import { NotSentError } from "../hop/NotSentError.ts";
import { ActiveRuns } from "../gate/ActiveRuns.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { TrafficClassifier } from "./TrafficClassifier.ts";
import { Dispatcher } from "./Dispatcher.ts";
import { RequestOrigin } from "./RequestOrigin.ts";
import { RetryBudgets } from "./RetryBudgets.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });
const targets = ["a", "b", "c"].map((id) => makeTarget(id, { hopAddress: id, askAddress: id }));

/** A dispatcher with three targets, whose sidecars' replies the test controls. */
function rig(
  slack = 100,
  knownTargets = targets,
  isStarting = () => false,
  borrow = () => Promise.resolve(false),
  returnsWithinObjective = false,
  extra: Partial<ConstructorParameters<typeof Dispatcher>[0]> = {},
  gray: readonly string[] = [],
) {
  const clock = extra.clock instanceof FakeClock ? extra.clock : new FakeClock();
  const hop = new FakeHop();
  const policy = new FixedPolicy(knownTargets, gray);
  const runs = new ActiveRuns(clock);
  const { quarantine, ...evidence } = makeQuarantine(clock);
  const dispatcher = new Dispatcher({
    policy,
    hop,
    quarantine,
    callerService: "desk",
    budgets: new RetryBudgets({
      rule: () => ({ ratio: 0.2, windowMs: 10_000, slack }),
      members: () => 1,
      clock,
      startedAt: -Infinity,
      random: () => 0,
    }),
    isStarting,
    borrower: { borrow },
    returnsWithinObjective: () => returnsWithinObjective,
    classifier: new TrafficClassifier({ runs, log }),
    clock,
    log,
    ...extra,
  });
  return { clock, hop, policy, runs, dispatcher, quarantine, ...evidence };
}

const { done, failed, shed, expired, mayHaveRun } = results;

const cases: readonly {
  name: string;
  idempotent: boolean;
  sendResults: readonly ForwardResult[];
  sends: number;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  {
    name: "lookup that succeeds is sent once",
    idempotent: true,
    sendResults: [done],
    sends: 1,
    verdict: "done",
  },
  {
    name: "lookup is retried after may-have-run",
    idempotent: true,
    sendResults: [mayHaveRun, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "lookup is retried after not-run",
    idempotent: true,
    sendResults: [shed, shed, done],
    sends: 3,
    verdict: "done",
  },
  {
    name: "lookup is not sent more often than the route's attempts",
    idempotent: true,
    sendResults: [shed, shed, shed, done],
    sends: 3,
    verdict: "not-run",
  },
  {
    name: "booking is retried after not-run",
    idempotent: false,
    sendResults: [shed, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "lookup is retried after an error response of a target",
    idempotent: true,
    sendResults: [failed, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "booking is not repeated after an error response of a target",
    idempotent: false,
    sendResults: [failed, done],
    sends: 1,
    verdict: "done",
  },
  // A "not run" would tell the caller that nothing happened, although the first target has worked on the request.
  {
    name: "lookup that one target failed and the others refused is not reported as not-run",
    idempotent: true,
    sendResults: [failed, shed, shed],
    sends: 3,
    verdict: "done",
  },
  {
    name: "lookup with an unknown outcome at one target that the others refused is not reported as not-run",
    idempotent: true,
    sendResults: [mayHaveRun, shed, shed],
    sends: 3,
    verdict: "may-have-run",
  },
  // A booking that may have run must not be sent again: a second run would send a van twice.
  {
    name: "booking is never repeated after may-have-run",
    idempotent: false,
    sendResults: [mayHaveRun, done],
    sends: 1,
    verdict: "may-have-run",
  },
];

for (const c of cases) {
  test(`dispatch: ${c.name}`, async (t) => {
    const { hop, dispatcher } = rig();
    const remainingResults = [...c.sendResults];
    hop.onRun = () => remainingResults.shift() ?? shed;
    const out = await dispatcher.dispatch(
      makeRoute({ idempotent: c.idempotent }),
      makeCallerRequest(),
    );
    const sentTo = hop.runs.map((r) => r.address);
    t.is(sentTo.length, c.sends);
    t.is(new Set(sentTo).size, sentTo.length, "each retry goes to another target");
    t.is(out.verdict.kind, c.verdict);
  });
}

const refusals: readonly {
  name: string;
  onSlotRequest: FakeHop["onSlotRequest"];
  known: boolean;
}[] = [
  { name: "no known target", onSlotRequest: () => refused(), known: false },
  { name: "every target full", onSlotRequest: () => refused(), known: true },
  {
    name: "every target leaving",
    onSlotRequest: () => refused(RefusalReason.Leaving),
    known: true,
  },
];

for (const c of refusals) {
  test(`dispatch: ${c.name} ends the request as not-run at once, without sending it`, async (t) => {
    const { hop, dispatcher, clock } = rig(100, c.known ? targets : []);
    hop.onSlotRequest = c.onSlotRequest;
    const out = await dispatcher.dispatch(makeRoute(), makeCallerRequest());
    t.is(hop.runs.length, 0);
    t.is(out.verdict.kind, "not-run");
    t.is(clock.now(), 0);
    t.is(out.verdict.kind === "not-run" && out.verdict.retryAfterMs, c.known ? 400 : 1000);
  });
}

test("dispatch: a request is queued while all targets are busy instead of being refused", async (t) => {
  // All targets are busy for about the duration of one request. A request that arrives then should
  // wait in an admission queue rather than be refused.
  const { hop, dispatcher, clock } = rig();
  hop.onSlotRequest = () => undefined;
  hop.onRun = () => done;
  const out = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await clock.advance(5);
  hop.slotRequests[0]?.call.onHeartbeat();
  await clock.advance(200);
  t.is(hop.slotRequests.length, 3, "a slot is requested from all three");
  hop.slotRequests[1]?.call.answer(granted);
  t.is((await out).verdict.kind, "done");
  t.deepEqual(
    hop.runs.map((r) => r.address),
    ["b"],
  );
  t.true(
    hop.slotRequests[0]?.call.cancelled && hop.slotRequests[2]?.call.cancelled,
    "the other slot requests are withdrawn",
  );
});

test("dispatch: a lookup that is stuck is hedged at a second target", async (t) => {
  // A target accepts a lookup and hangs. The caller must not have to wait for the timeout.
  const { hop, dispatcher, clock } = rig();
  hop.onRun = (address) => (address === "a" ? undefined : done);
  const out = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await clock.advance(100);
  hop.runs[0]?.call.onHeartbeat();
  await clock.advance(200);
  t.is((await out).verdict.kind, "done");
  t.deepEqual(
    hop.runs.map((r) => r.address),
    ["a", "b"],
  );
  t.true(hop.runs[0]?.call.cancelled, "the stuck run is cancelled");
});

test("dispatch: a booking is never hedged", async (t) => {
  const { hop, dispatcher, clock } = rig();
  const out = dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  for (let i = 0; i < 5; i++) {
    await clock.advance(250);
    hop.runs[0]?.call.onHeartbeat();
  }
  t.is((await out).verdict.kind, "may-have-run");
  t.is(hop.runs.length, 1);
});

test("dispatch: a booking whose grant expired requests another slot, at the same target if there is no other", async (t) => {
  // A sidecar on a slow machine uses its grant after it expired. Nothing has run, so the
  // target must not be excluded as failed, even if it is the only one.
  const { hop, dispatcher } = rig(0, targets.slice(0, 1));
  const remainingResults = [expired, expired, done];
  hop.onRun = () => remainingResults.shift() ?? shed;
  const out = await dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  t.is(out.verdict.kind, "done");
  t.is(hop.runs.length, 3);
});

test("dispatch: no retries are sent once the retry budget is used up", async (t) => {
  // A service fails all requests. Retrying every lookup would double its load.
  const { hop, dispatcher } = rig(0);
  hop.onRun = () => failed;
  for (let i = 0; i < 40; i++) {
    await dispatcher.dispatch(makeRoute({ budgetRatio: 0.1 }), makeCallerRequest());
  }
  t.true(hop.runs.length <= 40 + 5, `${hop.runs.length} sends of 40 requests`);
});

test("dispatch: a request is not sent if its caller disconnects while it is queued", async (t) => {
  const { hop, dispatcher, clock } = rig();
  hop.onSlotRequest = () => undefined;
  const leave = new AbortController();
  const out = dispatcher.dispatch(makeRoute(), makeCallerRequest({ disconnected: leave.signal }));
  await clock.advance(20);
  leave.abort();
  t.is((await out).verdict.kind, "not-run");
  t.is(hop.runs.length, 0);
  t.true(hop.slotRequests.every((a) => a.call.cancelled));
});

test("dispatch: the end of a planned stop refuses queued requests as not-run, and running ones continue", async (t) => {
  // A sidecar is stopped while its callers' bookings are queued at busy targets. Their connections
  // were closed without a response at the end of the grace period, and no caller could know that
  // nothing had run.
  const { hop, dispatcher } = rig();
  const running = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await settled();
  hop.onSlotRequest = () => undefined;
  const queued = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await settled();
  dispatcher.closeBy({ callersUntil: 0, endAt: 0 });
  t.is((await queued).verdict.kind, "not-run");
  t.is((await dispatcher.dispatch(makeRoute(), makeCallerRequest())).verdict.kind, "not-run");
  hop.runs[0]?.call.answer(done);
  t.is((await running).verdict.kind, "done");
});

test("dispatch: a download whose body takes longer than the time left in a planned stop is not passed on and cut off", async (t) => {
  // Guards against a reserve that covers only the start of a response, while its body is streamed for seconds.
  const { clock, hop, dispatcher } = rig();
  const bodies: PassThrough[] = [];
  hop.onRun = () => {
    const body = new PassThrough();
    bodies.push(body);
    return { ...done, body };
  };
  const download = () =>
    dispatcher.dispatch(makeRoute({ bulk: true }), makeCallerRequest({ deadlineAt: 60_000 }));
  for (let n = 0; n < 3; n++) {
    await download();
    await clock.advance(1500);
    bodies.at(-1)?.resume().end();
    await settled();
  }
  dispatcher.closeBy({ callersUntil: 0, endAt: clock.now() + 2000 });
  t.is((await download()).verdict.kind, "not-run");
  t.is(hop.runs.length, 3);
});

const settled = () => new Promise((resolve) => setImmediate(resolve));

const startupCases: readonly {
  name: string;
  isStarting: boolean;
  knownAfterMs: number;
  verdict: ForwardResult["verdict"]["kind"];
  endsAt: number;
}[] = [
  {
    name: "is served if a target announces itself in time",
    isStarting: true,
    knownAfterMs: 290,
    verdict: "done",
    endsAt: 310,
  },
  {
    name: "is refused if no target announces itself in time",
    isStarting: true,
    knownAfterMs: 10_000,
    verdict: "not-run",
    endsAt: 810,
  },
  {
    name: "is refused at once if the sidecar started long ago",
    isStarting: false,
    knownAfterMs: 290,
    verdict: "not-run",
    endsAt: 10,
  },
];

// The whole fleet was killed and restarts. A sidecar has the document and a caller's request, but the
// targets announce themselves only about 300 ms later.
for (const { name, isStarting, knownAfterMs, verdict, endsAt } of startupCases) {
  test(`dispatch: a request without a known target ${name}`, async (t) => {
    const knownTargets: ReturnType<typeof makeTarget>[] = [];
    const { clock, hop, dispatcher } = rig(100, knownTargets, () => isStarting);
    hop.onRun = () => done;
    clock.after(knownAfterMs, () => {
      knownTargets.push(makeTarget("a"));
    });
    let endedAt: number | undefined;
    const out = dispatcher.dispatch(makeRoute(), makeCallerRequest({ deadlineAt: 5000 }));
    void out.then(() => (endedAt = clock.now()));
    for (let ms = 0; ms < 2000 && endedAt === undefined; ms += 10) {
      await clock.advance(10);
    }
    t.is((await out).verdict.kind, verdict);
    t.is(endedAt, endsAt);
  });
}

test("dispatch: a booking whose connection could not be opened goes to another target without a retry token", async (t) => {
  // The VM of the target that granted the slot is cut off before the booking is sent there. Nothing has
  // reached it, so sending the booking elsewhere adds no load that the retry budget has to limit.
  const { hop, dispatcher, clock } = rig(0);
  const result = dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  await clock.advance(0);
  const [first] = hop.runs;
  first?.call.fail(new NotSentError(new Error("connect timeout")));
  await clock.advance(0);
  t.is(hop.runs.length, 2);
  t.not(hop.runs[1]?.address, first?.address);
  hop.runs[1]?.call.answer(done);
  t.is((await result).verdict.kind, "done");
});

const refusedThenGranted: readonly {
  name: string;
  origin: RequestOrigin;
  deadlineAt: number;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  { name: "a nested call", origin: RequestOrigin.TargetVm, deadlineAt: 2000, verdict: "done" },
  {
    name: "a nested call that can't be served before its deadline",
    origin: RequestOrigin.TargetVm,
    deadlineAt: 120,
    verdict: "not-run",
  },
  {
    name: "a caller's own request",
    origin: RequestOrigin.Elsewhere,
    deadlineAt: 2000,
    verdict: "not-run",
  },
];

for (const { name, origin, deadlineAt, verdict } of refusedThenGranted) {
  test(`dispatch: while every target is full for 100 ms, ${name} ends as ${verdict}`, async (t) => {
    // A run has worked for a second when it makes a nested call, and every target of the called service is full. Refusing
    // the call at once failed the whole run, although a slot was free 100 ms later. A caller's own request has
    // done no work yet and is refused as not run at once.
    const { clock, hop, runs, dispatcher } = rig();
    runs.begin();
    hop.onSlotRequest = () => (clock.now() < 100 ? refused(RefusalReason.Full) : granted);
    hop.onRun = () => done;
    const request = makeCallerRequest({ origin, deadlineAt });
    const result = dispatcher.dispatch(makeRoute({ idempotent: true }), request);
    await clock.advance(2000);
    t.is((await result).verdict.kind, verdict);
  });
}

for (const { name, isLent, sends } of [
  { name: "is retried with a token borrowed from another sidecar", isLent: true, sends: 2 },
  { name: "is not retried if no sidecar lends a token", isLent: false, sends: 1 },
]) {
  test(`dispatch: a failed lookup beyond this sidecar's share of the retry budget ${name}`, async (t) => {
    // With hundreds of sidecars the share of each is one or two retries in ten seconds. A sidecar that reached a gray target
    // twice stopped retrying lookups, while the shares of the others went unused.
    const { hop, dispatcher, clock } = rig(
      0,
      targets,
      () => false,
      () => Promise.resolve(isLent),
    );
    hop.onRun = () => (hop.runs.length === 1 ? failed : done);
    const result = dispatcher.dispatch(makeRoute({ idempotent: true }), makeCallerRequest());
    await clock.advance(1000);
    await result;
    t.is(hop.runs.length, sends);
  });
}

test("dispatch: a request whose grants keep expiring is refused as not-run", async (t) => {
  // Large requests take longer to reach their target than a grant lasts, since the link is saturated with requests whose
  // grants have expired. Each was sent again until its deadline, twenty times or more, which kept the link saturated.
  const { clock, hop, dispatcher } = rig();
  hop.onRun = () => expired;
  const result = dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  await clock.advance(500);
  t.is((await result).verdict.kind, "not-run");
  t.true(hop.runs.length <= 7, `${hop.runs.length} sends`);
});

/** A lookup is lost with its target; equal ones have ended `crashes` targets before. */
const crashCases: readonly {
  crashes: number;
  sends: number;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  { crashes: 0, sends: 2, verdict: "done" },
  { crashes: 1, sends: 1, verdict: "may-have-run" },
  { crashes: 3, sends: 0, verdict: "not-run" },
];

for (const { crashes, sends, verdict } of crashCases) {
  test(`dispatch: after ${crashes} crashes, a lookup is sent to ${sends} targets at most: ${verdict}`, async (t) => {
    const { clock, hop, dispatcher, quarantine } = rig();
    const route = makeRoute();
    const req = makeCallerRequest();
    const fingerprint = fingerprintOf(route.service.name, req) ?? RequestFingerprint("");
    for (let n = 0; n < crashes; n++) {
      const startedAt = clock.now();
      await clock.advance(1);
      const names = { fingerprint, service: route.service.name, request: "GET /", target: `t${n}` };
      quarantine.recordCrash({ ...names, startedAt });
    }
    hop.onRun = () => (hop.runs.length === 1 ? { ...mayHaveRun, targetEnded: true } : done);
    const result = dispatcher.dispatch(route, req);
    await clock.advance(50);
    t.is((await result).verdict.kind, verdict);
    t.is(hop.runs.length, sends);
  });
}

const returns = [
  { name: "returns within its objective", isOn: true, known: targets, isSoon: true },
  {
    name: "keeps the target's time where the feature is off",
    isOn: false,
    known: targets,
    isSoon: false,
  },
  {
    name: "keeps the time of the only target",
    isOn: true,
    known: targets.slice(0, 1),
    isSoon: false,
  },
];

for (const { name, isOn, known, isSoon } of returns) {
  test(`dispatch: the caller of a request that a target refused, with no retry left, ${name}`, async (t) => {
    // Guards against callers that are sent away for longer than their objective by targets that refuse at random.
    const { hop, dispatcher } = rig(0, known, undefined, undefined, isOn);
    hop.onRun = () => shed;
    const route = makeRoute({ objectiveMs: 900 });
    const { verdict } = await dispatcher.dispatch(route, makeCallerRequest());
    const told = verdict.kind === "not-run" ? verdict.retryAfterMs : undefined;
    t.is(told !== shed.verdict.retryAfterMs, isSoon);
  });
}

/** A dispatcher with hedging after 250 ms, and an allowance for one hedge. */
function hedgingRig(gray: readonly string[] = []) {
  const clock = new FakeClock();
  const ended: HedgeReport[] = [];
  const refused: string[] = [];
  let isStopping = false;
  const hedging = new HedgeRule({
    policy: { typicalMs: () => 100, isCongested: () => false },
    budgets: { tryHedge: () => true },
    limits: () => hedgedRoute.service.hedging,
    isStopping: () => isStopping,
    clock,
  });
  hedging.recordWork(hedgedRoute, 2000);
  const onHedgeEnd = (_: string, report: HedgeReport) => void ended.push(report);
  const onHedgeRefused = (_: string, reason: string) => void refused.push(reason);
  const extra = { hedging, onHedgeEnd, onHedgeRefused, clock };
  const parts = rig(100, targets, undefined, undefined, false, extra, gray);
  return { ...parts, clock, ended, refused, stop: () => (isStopping = true) };
}

const hedgedRoute = makeRoute({
  service: makeService({ hedging: { quantile: 0.95, maxWorkShare: 0.05 } }),
});

/** Advances by `ms` while the sidecars of all running requests send heartbeats. */
async function runFor(clock: FakeClock, hop: FakeHop, ms: number): Promise<void> {
  await clock.advance(0);
  for (let at = 0; at < ms; at += 50) {
    await clock.advance(50);
    hop.runs.forEach((r) => {
      r.call.onHeartbeat();
    });
  }
}

test("dispatch: with hedging, a slow lookup is also sent to a second target, and the first run is cancelled", async (t) => {
  const { clock, hop, dispatcher, ended } = hedgingRig();
  hop.onRun = (address) => (address === "a" ? undefined : done);
  const out = dispatcher.dispatch(hedgedRoute, makeCallerRequest());
  await runFor(clock, hop, 200);
  t.is(hop.runs.length, 1);
  await runFor(clock, hop, 100);
  t.is((await out).verdict.kind, "done");
  t.true(hop.runs[0]?.call.cancelled);
  const isRetryable = hop.slotRequests.map((s) => s.request.isRetryable);
  t.deepEqual(isRetryable, [true, false], "a gate that holds its target suspect refuses a hedge");
  t.like(ended, [{ first: TargetId("a"), second: TargetId("b"), won: "second" }]);
});

test("dispatch: with hedging, the hedge is cancelled when the first run responds, also if its gate never learns that", async (t) => {
  // The cancellation is lost: the hedge's own late response must not reach the caller or count as a second result.
  const { clock, hop, dispatcher, ended } = hedgingRig();
  const out = dispatcher.dispatch(hedgedRoute, makeCallerRequest());
  await runFor(clock, hop, 300);
  hop.runs[0]?.call.answer(done);
  const result = await out;
  t.is(result, done);
  t.true(hop.runs[1]?.call.cancelled);
  hop.runs[1]?.call.answer(failed);
  await clock.advance(100);
  t.is(ended.length, 1);
  t.like(ended, [{ won: "first", workMs: 100 }]);
});

test("dispatch: with hedging, a queued hedge is withdrawn at its gate when the first run responds", async (t) => {
  const { clock, hop, dispatcher, ended } = hedgingRig();
  hop.onSlotRequest = (address) => (address === "a" ? granted : undefined);
  const out = dispatcher.dispatch(hedgedRoute, makeCallerRequest());
  await runFor(clock, hop, 300);
  hop.slotRequests[1]?.call.onHeartbeat();
  hop.runs[0]?.call.answer(done);
  await out;
  t.true(hop.slotRequests.slice(1).every((s) => s.call.cancelled));
  t.deepEqual([hop.runs.length, ended.length], [1, 0]);
});

const notHedged: readonly {
  name: string;
  idempotent?: boolean;
  gray?: readonly string[];
  isStopping?: boolean;
  refusal?: RefusalReason;
  refused: readonly string[];
}[] = [
  { name: "a booking", idempotent: false, refused: [] },
  { name: "a lookup while all other targets are gray", gray: ["b", "c"], refused: ["no-slot"] },
  {
    name: "a lookup whose other targets' gates hold them suspect",
    refusal: RefusalReason.Suspect,
    refused: ["no-slot"],
  },
  { name: "a lookup of a stopping sidecar", isStopping: true, refused: ["stopping"] },
];

for (const c of notHedged) {
  test(`dispatch: with hedging, ${c.name} is not hedged`, async (t) => {
    const { clock, hop, dispatcher, refused: seen, stop } = hedgingRig(c.gray);
    hop.onSlotRequest = (address) => (address === "a" || !c.refusal ? granted : refused(c.refusal));
    if (c.isStopping) {
      stop();
    }
    const route = { ...hedgedRoute, idempotent: c.idempotent ?? true };
    const out = dispatcher.dispatch(route, makeCallerRequest());
    await runFor(clock, hop, 600);
    hop.runs[0]?.call.answer(done);
    t.is((await out).verdict.kind, "done");
    t.is(hop.runs.length, 1);
    t.deepEqual(seen, c.refused);
    t.true(hop.slotRequests.every((s) => s.request.acceptsRisk === 0));
  });
}
