import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { FakeHop } from "../../../test/fixtures/FakeHop.ts";
import { makeCallerRequest } from "../../../test/fixtures/makeCallerRequest.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { NotSentError } from "../hop/NotSentError.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { RemoteRun } from "./RemoteRun.ts";

const log = bunyan.createLogger({ name: "test", level: "fatal" });

function rig(idempotent: boolean, over: Parameters<typeof makeCallerRequest>[0] = {}) {
  const clock = new FakeClock();
  const hop = new FakeHop();
  let silences = 0;
  const start = () =>
    new RemoteRun(
      { hop, callerService: "desk", clock, log, onSilence: () => (silences += 1) },
      makeRoute({ idempotent }),
      makeCallerRequest({ deadlineAt: 5000, ...over }),
      { target: makeTarget("x"), id: GrantId("b.1") },
    );
  return { clock, hop, start, silences: () => silences };
}

test("run: the answer that came is the result", async (t) => {
  const { hop, start } = rig(false);
  const run = start();
  hop.runs[0]?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
});

test("run: a booking whose connection is reset is asked for again, and its answer fetched", async (t) => {
  // Story: the connection between two sidecars is reset while a booking runs. The
  // booking must not be sent again, and its caller should still get its answer.
  const { clock, hop, start } = rig(false);
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(0);
  t.is(hop.joins.length, 1);
  hop.joins[0]?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
  t.is(hop.runs.length, 1);
});

test("run: while the other side cannot be reached it is asked again and again", async (t) => {
  const { clock, hop, start } = rig(false);
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(0);
  for (let i = 0; i < 3; i++) {
    await clock.advance(500);
  }
  t.is(hop.joins.length, 4);
  t.true(hop.joins.slice(0, 3).every((j) => j.call.givenUp));
  hop.joins.at(-1)?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
});

test("run: a connection that falls silent is left for a new one", async (t) => {
  // Story: a connection is open and nothing comes over it any more. Only the missing
  // signs of life show it.
  const { clock, hop, start, silences } = rig(false);
  const run = start();
  for (let i = 0; i < 5; i++) {
    await clock.advance(300);
    hop.runs[0]?.call.onAlive();
  }
  t.is(hop.joins.length, 0, "while it is heard of it is waited for");
  await clock.advance(750);
  t.is(hop.joins.length, 1);
  t.is(silences(), 1);
  hop.joins[0]?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
});

test("run: a lookup in doubt ends at once, since it can be sent elsewhere", async (t) => {
  const { clock, hop, start } = rig(true);
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(0);
  t.is((await run.result).verdict.kind, "may-have-run");
  t.is(hop.joins.length, 0);
});

for (const idempotent of [true, false]) {
  test(`run: ${idempotent ? "a lookup" : "a booking"} for which no connection opens has not run`, async (t) => {
    // Story: the VM of the target that gave a slot is cut off, or too busy to take connections. Lookups ended as in
    // doubt, and bookings were asked for until their time was up, though nothing had been sent.
    const { clock, hop, start, silences } = rig(idempotent);
    const run = start();
    hop.runs[0]?.call.fail(new NotSentError(new Error("connect timeout")));
    await clock.advance(0);
    const { verdict, outcome } = await run.result;
    t.is(verdict.kind, "not-run");
    t.is(outcome, AttemptOutcome.NoAnswer);
    t.is(hop.joins.length, 0);
    t.is(silences(), 1, "the path is known to be bad");
  });
}

test("run: without word by the deadline it may have run, and time ran out", async (t) => {
  const { clock, hop, start } = rig(false, { deadlineAt: 1000 });
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(1000);
  const { verdict } = await run.result;
  t.is(verdict.kind, "may-have-run");
  t.true(verdict.kind === "may-have-run" && verdict.timedOut);
  t.true(hop.joins.every((j) => j.call.givenUp));
});

test("run: when the caller leaves, nothing goes on waiting for it", async (t) => {
  const leave = new AbortController();
  const { hop, start } = rig(true, { left: leave.signal });
  const run = start();
  leave.abort();
  t.is((await run.result).outcome, AttemptOutcome.Cancelled);
  t.true(hop.runs[0]?.call.givenUp);
});

test("run: the time that is left goes with it, less what the way back takes", (t) => {
  const { hop, start } = rig(false, { deadlineAt: 800 });
  start();
  const remaining = hop.runs[0]?.req.remainingMs ?? 0;
  t.true(remaining > 700 && remaining < 800);
});
