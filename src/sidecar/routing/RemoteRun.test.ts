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
  let contactLosses = 0;
  const start = () =>
    new RemoteRun(
      { hop, callerService: "desk", clock, log, onContactLost: () => (contactLosses += 1) },
      makeRoute({ idempotent }),
      makeCallerRequest({ deadlineAt: 5000, ...over }),
      { target: makeTarget("x"), id: GrantId("b.1") },
    );
  return { clock, hop, start, contactLosses: () => contactLosses };
}

test("run: resolves with the response of the target", async (t) => {
  const { hop, start } = rig(false);
  const run = start();
  hop.runs[0]?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
});

test("run: a booking is reattached rather than resent when its connection is reset", async (t) => {
  // Guards against running a booking twice, or losing its response, when the connection
  // between two sidecars is reset during the run.
  const { clock, hop, start } = rig(false);
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(0);
  t.is(hop.reattaches.length, 1);
  hop.reattaches[0]?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
  t.is(hop.runs.length, 1);
});

test("run: reattaching is repeated while the other sidecar is unreachable", async (t) => {
  const { clock, hop, start } = rig(false);
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(0);
  for (let i = 0; i < 3; i++) {
    await clock.advance(500);
  }
  t.is(hop.reattaches.length, 4);
  t.true(hop.reattaches.slice(0, 3).every((j) => j.call.cancelled));
  hop.reattaches.at(-1)?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
});

test("run: a connection without heartbeats is replaced by a new one", async (t) => {
  // Guards against waiting on a half-open connection: it stays open but delivers nothing,
  // which only the missing heartbeats show.
  const { clock, hop, start, contactLosses } = rig(false);
  const run = start();
  for (let i = 0; i < 5; i++) {
    await clock.advance(300);
    hop.runs[0]?.call.onHeartbeat();
  }
  t.is(hop.reattaches.length, 0, "no reattach while heartbeats arrive");
  await clock.advance(750);
  t.is(hop.reattaches.length, 1);
  t.is(contactLosses(), 1);
  hop.reattaches[0]?.call.answer(results.done);
  t.is((await run.result).verdict.kind, "done");
});

test("run: a lookup in doubt ends at once, since it can be sent to another target", async (t) => {
  const { clock, hop, start } = rig(true);
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(0);
  t.is((await run.result).verdict.kind, "may-have-run");
  t.is(hop.reattaches.length, 0);
});

for (const idempotent of [true, false]) {
  test(`run: ${idempotent ? "a lookup" : "a booking"} is reported as not run when no connection opens`, async (t) => {
    // The VM of the target that granted the slot is partitioned, or too busy to accept connections. Guards against
    // ending lookups as in doubt, and reattaching bookings until their deadline, though nothing was sent.
    const { clock, hop, start, contactLosses } = rig(idempotent);
    const run = start();
    hop.runs[0]?.call.fail(new NotSentError(new Error("connect timeout")));
    await clock.advance(0);
    const { verdict, outcome } = await run.result;
    t.is(verdict.kind, "not-run");
    t.is(outcome, AttemptOutcome.NoResponse);
    t.is(hop.reattaches.length, 0);
    t.is(contactLosses(), 1, "the path is reported as failing");
  });
}

test("run: a run without a result by its deadline is in doubt and timed out", async (t) => {
  const { clock, hop, start } = rig(false, { deadlineAt: 1000 });
  const run = start();
  hop.runs[0]?.call.fail();
  await clock.advance(1000);
  const { verdict } = await run.result;
  t.is(verdict.kind, "may-have-run");
  t.true(verdict.kind === "may-have-run" && verdict.timedOut);
  t.true(hop.reattaches.every((j) => j.call.cancelled));
});

test("run: is cancelled when the caller disconnects", async (t) => {
  const caller = new AbortController();
  const { hop, start } = rig(true, { disconnected: caller.signal });
  const run = start();
  caller.abort();
  t.is((await run.result).outcome, AttemptOutcome.Cancelled);
  t.true(hop.runs[0]?.call.cancelled);
});

test("run: the remaining time that is sent leaves a margin for the return path", (t) => {
  const { hop, start } = rig(false, { deadlineAt: 800 });
  start();
  const remaining = hop.runs[0]?.req.remainingMs ?? 0;
  t.true(remaining > 700 && remaining < 800);
});

// Guards against an outcome that the target's sidecar knows only after it was reported to the caller as unknown.
for (const [deadlineAt, remainingMs] of [
  [300, 280],
  [2000, 1920],
  [12_000, 11_850],
] as const) {
  test(`run: the target's sidecar is given ${remainingMs} of ${deadlineAt} ms`, (t) => {
    const { hop, start } = rig(false, { deadlineAt });
    start();
    t.is(hop.runs[0]?.req.remainingMs, remainingMs);
  });
}
