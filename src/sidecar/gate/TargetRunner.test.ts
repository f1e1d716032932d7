import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import { Gate } from "./Gate.ts";
import { GrantIds } from "./GrantIds.ts";
import { ActiveRuns } from "./ActiveRuns.ts";
import { RunTable } from "./RunTable.ts";
import { TargetRunner, type GrantRef } from "./TargetRunner.ts";

const BOOT = "this life";
const log = bunyan.createLogger({ name: "test", level: "fatal" });
const attempt = AttemptId("a");
const target = TargetId("x");

/** Longer than any attempt is remembered, ms. */
const FORGET_MS = 120_000;

function rig() {
  const clock = new FakeClock();
  const here = new ActiveRuns(clock);
  const noted: AttemptOutcome[] = [];
  const grants = new GrantIds(BOOT);
  const gate = new Gate({
    target: () => ({ slots: 1, takesWork: true }),
    detector: { ...AlwaysHealthyDetector, note: (outcome) => noted.push(outcome) },
    clock,
    grants,
  });
  const runs = new RunTable(clock);
  let sends = 0;
  let settle: (result: ForwardResult) => void = () => undefined;
  const runner = new TargetRunner({
    gates: { get: () => gate },
    runs,
    here,
    target: () => makeTarget(target),
    send: () => {
      sends += 1;
      return new Promise((resolve) => (settle = resolve));
    },
    grants,
    log,
  });
  const run = (name: GrantRef, over: Partial<TargetRequest> = {}) =>
    runner.run(name, () => ({ deadlineAt: 0, ...over }) as TargetRequest);
  /** Has a slot granted; returns how the grant is named. */
  const ask = (): GrantRef => {
    let grant = GrantId("none");
    gate.requestSlot(makeSlotRequest({ attempt }), (reply) => {
      grant = reply.kind === "granted" ? reply.grant : grant;
    });
    return { attempt, target, grant };
  };
  return {
    clock,
    gate,
    runs,
    runner,
    run,
    ask,
    here,
    noted,
    sends: () => sends,
    end: (result: ForwardResult) => {
      settle(result);
    },
  };
}

const unusable: readonly { name: string; grant: GrantId; asked: boolean }[] = [
  { name: "that was never given", grant: GrantId(`${BOOT}.1`), asked: false },
  { name: "of an earlier life of the process", grant: GrantId("earlier.1"), asked: true },
];

for (const { name, grant, asked } of unusable) {
  test(`runner: a grant ${name} runs nothing, and says so`, async (t) => {
    const { run, ask, sends } = rig();
    if (asked) {
      ask();
    }
    const out = await run({ attempt, target, grant });
    t.is(out.verdict.kind, "not-run");
    t.is(sends(), 0);
  });
}

test("runner: one grant runs once, however often it is sent", async (t) => {
  // Story: a connection is reset after the request went out, and the sidecar that
  // sent it sends it again. The booking must not be made twice.
  const { ask, run, end, sends } = rig();
  const grant = ask();
  const sent = [run(grant), run(grant)];
  end(results.done);
  sent.push(run(grant));
  const kinds = (await Promise.all(sent)).map((out) => out.verdict.kind);
  t.deepEqual(kinds, ["done", "done", "done"]);
  t.is(sends(), 1);
});

test("runner: whoever lost the connection joins the run, or fetches its answer", async (t) => {
  const { ask, run, end, runner } = rig();
  const grant = ask();
  void run(grant);
  const joined = runner.state(grant);
  t.is(joined.kind, "running");
  end(results.done);
  t.is(joined.kind === "running" && (await joined.result).verdict.kind, "done");
  const later = runner.state(grant);
  t.is(later.kind === "ended" && later.result.verdict.kind, "done");
});

test("runner: an attempt asked for before it came is taken back, and never runs", async (t) => {
  // Story: a request is held up in a cut link, and its sender asks over a new
  // connection. It is told that nothing ran; when the request comes after all, that
  // must stay true.
  const { ask, run, runner, sends } = rig();
  const grant = ask();
  const state = runner.state(grant);
  t.is(state.kind === "ended" && state.result.verdict.kind, "not-run");
  const late = await run(grant);
  t.is(late.verdict.kind, "not-run");
  t.is(sends(), 0);
});

test("runner: nothing is said of an attempt that an earlier life of the process was given", (t) => {
  const { runner } = rig();
  t.is(runner.state({ attempt, target, grant: GrantId("earlier.1") }).kind, "unknown");
});

test("run table: attempts are forgotten in the end", async (t) => {
  const { clock, ask, run, end, runs } = rig();
  const name = ask();
  const first = run(name);
  end(results.done);
  await first;
  await clock.advance(FORGET_MS);
  runs.track(GrantId("b"), Promise.resolve(results.done), 0);
  t.is(runs.size, 1);
  t.is(runs.state(name.grant).kind, "unknown");
});

test("runner: a run is not reported as not run before its request's deadline, however long ago it ended", async (t) => {
  const { clock, ask, run, end, runs, runner } = rig();
  const name = ask();
  const first = run(name, { deadlineAt: 2 * FORGET_MS });
  end(results.done);
  await first;
  await clock.advance(FORGET_MS);
  runs.track(GrantId("b"), Promise.resolve(results.done), 0);
  const state = runner.state(name);
  t.is(state.kind === "ended" && state.result.verdict.kind, "done");
});

test("run table: answers beyond the bound are dropped oldest first, and said to be", async (t) => {
  const runs = new RunTable(new FakeClock());
  const large = { ...results.done, body: Buffer.alloc(12 << 20) };
  for (const name of ["a", "b", "c"]) {
    const run = Promise.resolve(large);
    runs.track(GrantId(name), run, 0);
    await run;
  }
  const kinds = ["a", "b", "c"].map((name) => runs.state(GrantId(name)).kind);
  t.deepEqual(kinds, ["forgotten", "ended", "ended"]);
});

const failures: readonly { name: string; callIsServed: boolean; isHeld: boolean }[] = [
  {
    name: "after a call that was not served is not held against the target",
    callIsServed: false,
    isHeld: false,
  },
  {
    name: "though its call was served is held against the target",
    callIsServed: true,
    isHeld: true,
  },
];

for (const { name, callIsServed, isHeld } of failures) {
  test(`runner: a run that fails ${name}`, async (t) => {
    // Story: sign-offs call the reports' service in the midst of their work, and fail when it fails them. Held
    // against the targets that ran the sign-offs, that had sound ones ejected all over the fleet.
    const { run, ask, end, here, noted } = rig();
    const running = run(ask());
    here.beginCall({ route: "index", service: "reports", weight: 1 })(callIsServed);
    end(results.failed);
    const out = await running;
    t.is(out.outcome, AttemptOutcome.Failed, "whoever sent it is told that it failed");
    t.deepEqual(noted, [isHeld ? AttemptOutcome.Failed : AttemptOutcome.CallLost]);
  });
}
