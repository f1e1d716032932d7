import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { FakeHop, granted, refused } from "../../../test/fixtures/FakeHop.ts";
import { FixedPolicy } from "../../../test/fixtures/FixedPolicy.ts";
import { makeCallerRequest } from "../../../test/fixtures/makeCallerRequest.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
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

/** A dispatcher over three targets whose sidecars a test plays. */
function rig(
  slack = 100,
  known = targets,
  isStarting = () => false,
  borrow = () => Promise.resolve(false),
) {
  const clock = new FakeClock();
  const hop = new FakeHop();
  const policy = new FixedPolicy(known);
  const runs = new ActiveRuns(clock);
  const dispatcher = new Dispatcher({
    policy,
    hop,
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
    calls: new TrafficClassifier({ runs, log }),
    clock,
    log,
  });
  return { clock, hop, policy, runs, dispatcher };
}

const { done, failed, shed, expired, inDoubt } = results;

const cases: readonly {
  name: string;
  idempotent: boolean;
  answers: readonly ForwardResult[];
  sends: number;
  verdict: ForwardResult["verdict"]["kind"];
}[] = [
  { name: "lookup done first time", idempotent: true, answers: [done], sends: 1, verdict: "done" },
  {
    name: "lookup retried after may-have-run",
    idempotent: true,
    answers: [inDoubt, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "lookup retried after not-run",
    idempotent: true,
    answers: [shed, shed, done],
    sends: 3,
    verdict: "done",
  },
  {
    name: "lookup gives up after its attempts",
    idempotent: true,
    answers: [shed, shed, shed, done],
    sends: 3,
    verdict: "not-run",
  },
  {
    name: "booking retried after not-run",
    idempotent: false,
    answers: [shed, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "lookup retried after a target's own error",
    idempotent: true,
    answers: [failed, done],
    sends: 2,
    verdict: "done",
  },
  {
    name: "booking that a target answered with an error is not sent again",
    idempotent: false,
    answers: [failed, done],
    sends: 1,
    verdict: "done",
  },
  // Told that it has not run, a caller believes that nothing happened; the first target had worked on it.
  {
    name: "lookup that one target failed and the others refuse has run",
    idempotent: true,
    answers: [failed, shed, shed],
    sends: 3,
    verdict: "done",
  },
  {
    name: "lookup that is in doubt at one target and that the others refuse may have run",
    idempotent: true,
    answers: [inDoubt, shed, shed],
    sends: 3,
    verdict: "may-have-run",
  },
  // A booking that may have run must not be sent again: a second run sends a van twice.
  {
    name: "booking never retried after may-have-run",
    idempotent: false,
    answers: [inDoubt, done],
    sends: 1,
    verdict: "may-have-run",
  },
];

for (const c of cases) {
  test(`dispatch: ${c.name}`, async (t) => {
    const { hop, dispatcher } = rig();
    const answers = [...c.answers];
    hop.onRun = () => answers.shift() ?? shed;
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

const refusals: readonly { name: string; onAsk: FakeHop["onAsk"]; known: boolean }[] = [
  { name: "no target known", onAsk: () => refused(), known: false },
  { name: "every target full", onAsk: () => refused(), known: true },
  { name: "every target leaving", onAsk: () => refused(RefusalReason.Leaving), known: true },
];

for (const c of refusals) {
  test(`dispatch: ${c.name} is not-run at once, and nothing is sent`, async (t) => {
    const { hop, dispatcher, clock } = rig(100, c.known ? targets : []);
    hop.onAsk = c.onAsk;
    const out = await dispatcher.dispatch(makeRoute(), makeCallerRequest());
    t.is(hop.runs.length, 0);
    t.is(out.verdict.kind, "not-run");
    t.is(clock.now(), 0);
    t.is(out.verdict.kind === "not-run" && out.verdict.retryAfterMs, c.known ? 400 : 1000);
  });
}

test("dispatch: a request waits for room instead of being refused", async (t) => {
  // Story: all targets are busy for the moment a request takes. A caller that comes
  // then should wait in the queue beside one of them, not be sent away.
  const { hop, dispatcher, clock } = rig();
  hop.onAsk = () => undefined;
  hop.onRun = () => done;
  const out = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await clock.advance(5);
  hop.asks[0]?.call.onAlive();
  await clock.advance(200);
  t.is(hop.asks.length, 3, "all three are asked meanwhile");
  hop.asks[1]?.call.answer(granted);
  t.is((await out).verdict.kind, "done");
  t.deepEqual(
    hop.runs.map((r) => r.address),
    ["b"],
  );
  t.true(hop.asks[0]?.call.givenUp && hop.asks[2]?.call.givenUp, "the others are withdrawn");
});

test("dispatch: a lookup that is stuck is sent to a second target beside the first", async (t) => {
  // Story: a target takes a lookup and hangs. The clerk must not wait for the timeout.
  const { hop, dispatcher, clock } = rig();
  hop.onRun = (address) => (address === "a" ? undefined : done);
  const out = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await clock.advance(100);
  hop.runs[0]?.call.onAlive();
  await clock.advance(200);
  t.is((await out).verdict.kind, "done");
  t.deepEqual(
    hop.runs.map((r) => r.address),
    ["a", "b"],
  );
  t.true(hop.runs[0]?.call.givenUp, "the stuck one is cancelled");
});

test("dispatch: a booking is never sent to a second target beside the first", async (t) => {
  const { hop, dispatcher, clock } = rig();
  const out = dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  for (let i = 0; i < 5; i++) {
    await clock.advance(250);
    hop.runs[0]?.call.onAlive();
  }
  t.is((await out).verdict.kind, "may-have-run");
  t.is(hop.runs.length, 1);
});

test("dispatch: a booking whose grant had run out asks again, at the same target if need be", async (t) => {
  // Story: a sidecar on a slowed machine takes its grant too late. Nothing has run, so
  // it must not count as the target's failure, even where there is no other target.
  const { hop, dispatcher } = rig(0, targets.slice(0, 1));
  const answers = [expired, expired, done];
  hop.onRun = () => answers.shift() ?? shed;
  const out = await dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  t.is(out.verdict.kind, "done");
  t.is(hop.runs.length, 3);
});

test("dispatch: an empty retry budget ends the retries", async (t) => {
  // Story: a service fails everything. Every lookup sent again doubles its load.
  const { hop, dispatcher } = rig(0);
  hop.onRun = () => failed;
  for (let i = 0; i < 40; i++) {
    await dispatcher.dispatch(makeRoute({ budgetRatio: 0.1 }), makeCallerRequest());
  }
  t.true(hop.runs.length <= 40 + 5, `${hop.runs.length} sends of 40 requests`);
});

test("dispatch: the caller leaves while it waits: nothing is sent", async (t) => {
  const { hop, dispatcher, clock } = rig();
  hop.onAsk = () => undefined;
  const leave = new AbortController();
  const out = dispatcher.dispatch(makeRoute(), makeCallerRequest({ left: leave.signal }));
  await clock.advance(20);
  leave.abort();
  t.is((await out).verdict.kind, "not-run");
  t.is(hop.runs.length, 0);
  t.true(hop.asks.every((a) => a.call.givenUp));
});

test("dispatch: requests in line are refused when the sidecar is about to end, those at a target go on", async (t) => {
  // Story: a sidecar is stopped while its callers' bookings stand in line at busy targets. At
  // the end of its grace their connections were closed without a word, and no caller knew
  // that nothing had run.
  const { hop, dispatcher } = rig();
  const running = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await settled();
  hop.onAsk = () => undefined;
  const inLine = dispatcher.dispatch(makeRoute(), makeCallerRequest());
  await settled();
  dispatcher.close();
  t.is((await inLine).verdict.kind, "not-run");
  t.is((await dispatcher.dispatch(makeRoute(), makeCallerRequest())).verdict.kind, "not-run");
  hop.runs[0]?.call.answer(done);
  t.is((await running).verdict.kind, "done");
});

const settled = () => new Promise((resolve) => setImmediate(resolve));

const starts: readonly {
  name: string;
  isStarting: boolean;
  knownAfterMs: number;
  verdict: ForwardResult["verdict"]["kind"];
  endsAt: number;
}[] = [
  {
    name: "a target comes to be known in time",
    isStarting: true,
    knownAfterMs: 290,
    verdict: "done",
    endsAt: 310,
  },
  {
    name: "none comes to be known",
    isStarting: true,
    knownAfterMs: 10_000,
    verdict: "not-run",
    endsAt: 810,
  },
  {
    name: "the sidecar has been up for long",
    isStarting: false,
    knownAfterMs: 290,
    verdict: "not-run",
    endsAt: 10,
  },
];

// Story: the whole fleet was killed and is back. A sidecar has the document and a caller's request,
// but the targets have not announced themselves yet; 300 ms later they have.
for (const { name, isStarting, knownAfterMs, verdict, endsAt } of starts) {
  test(`a fleet that starts, ${name}`, async (t) => {
    const known: ReturnType<typeof makeTarget>[] = [];
    const { clock, hop, dispatcher } = rig(100, known, () => isStarting);
    hop.onRun = () => done;
    clock.after(knownAfterMs, () => {
      known.push(makeTarget("a"));
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

test("dispatch: a booking for which no connection opened goes to another target, at no cost to the budget", async (t) => {
  // Story: the VM of the target that gave a slot is cut off before the booking is sent there. Nothing has
  // reached it, so there is no repeat that a budget could be for, and the caller is served elsewhere.
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
  { name: "a call", origin: RequestOrigin.TargetVm, deadlineAt: 2000, verdict: "done" },
  {
    name: "a call that could not be served in time then",
    origin: RequestOrigin.TargetVm,
    deadlineAt: 120,
    verdict: "not-run",
  },
  { name: "a caller's own", origin: RequestOrigin.Elsewhere, deadlineAt: 2000, verdict: "not-run" },
];

for (const { name, origin, deadlineAt, verdict } of refusedThenGranted) {
  test(`dispatch: every target is full for a moment, and ${name} is ${verdict}`, async (t) => {
    // Story: a sign-off has worked for a second when it needs a report, and every target of that service says that it is
    // full. Refused at once, the call cost the whole run, though a place was free a tenth of a second later. A caller's own
    // request has cost nothing yet, and hears at once that it has not run.
    const { clock, hop, runs, dispatcher } = rig();
    runs.begin();
    hop.onAsk = () => (clock.now() < 100 ? refused(RefusalReason.Full) : granted);
    hop.onRun = () => done;
    const request = makeCallerRequest({ origin, deadlineAt });
    const result = dispatcher.dispatch(makeRoute({ idempotent: true }), request);
    await clock.advance(2000);
    t.is((await result).verdict.kind, verdict);
  });
}

for (const { name, isLent, sends } of [
  { name: "is sent again where another sidecar lends its leave", isLent: true, sends: 2 },
  { name: "ends where nobody does", isLent: false, sends: 1 },
]) {
  test(`dispatch: a failed lookup beyond this sidecar's part of the budget ${name}`, async (t) => {
    // Story: among hundreds of sidecars each may retry once or twice in ten seconds. One that met a gray target twice
    // gave up on lookups, while the others' parts went unused.
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

test("dispatch: a request whose grants run out again and again is given up as not run", async (t) => {
  // Story: a field map takes longer to its target than a grant lasts, since the link there is full of maps that came
  // too late. Each was sent for as long as its caller waited, twenty times and more, and kept the link full.
  const { clock, hop, dispatcher } = rig();
  hop.onRun = () => expired;
  const result = dispatcher.dispatch(makeRoute({ idempotent: false }), makeCallerRequest());
  await clock.advance(500);
  t.is((await result).verdict.kind, "not-run");
  t.true(hop.runs.length <= 7, `${hop.runs.length} sends`);
});
