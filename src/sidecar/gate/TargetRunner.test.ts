import { Readable } from "node:stream";
import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { openGuard } from "../../../test/fixtures/openGuard.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { results } from "../../../test/fixtures/results.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { ServiceName } from "../../common/ids/ServiceName.ts";
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

const BOOT = "this incarnation";
const log = bunyan.createLogger({ name: "test", level: "fatal" });
const attempt = AttemptId("a");
const target = TargetId("x");

const REQUEST: TargetRequest = {
  method: "GET",
  path: "/",
  headers: [],
  body: undefined,
  metadata: { attempt, target, callerService: ServiceName("svc"), echoHeader: undefined },
  deadlineAt: 0,
  idempotent: true,
};

/** Longer than a run without a later deadline is retained, ms. */
const RETENTION_MS = 120_000;

function rig() {
  const clock = new FakeClock();
  const activeRuns = new ActiveRuns(clock);
  const reported: AttemptOutcome[] = [];
  const grants = new GrantIds(BOOT);
  const gate = new Gate({
    target: () => ({ slots: 1, acceptsRequests: true }),
    detector: { ...AlwaysHealthyDetector, recordOutcome: (outcome) => reported.push(outcome) },
    clock,
    grants,
  });
  const runs = new RunTable(clock);
  let sends = 0;
  let settle: (result: ForwardResult) => void = () => undefined;
  let fail: (err: Error) => void = () => undefined;
  const runner = new TargetRunner({
    gates: { get: () => gate },
    runs,
    activeRuns,
    target: () => makeTarget(target),
    send: () => {
      sends += 1;
      return new Promise((resolve, reject) => {
        settle = resolve;
        fail = reject;
      });
    },
    guard: openGuard,
    clock,
    grants,
    log,
  });
  const run = (ref: GrantRef, overrides: Partial<TargetRequest> = {}) =>
    runner.run(ref, () => ({ ...REQUEST, ...overrides }));
  /** Requests a slot and returns its grant. */
  const requestGrant = (): GrantRef => {
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
    requestGrant,
    activeRuns,
    reported,
    sends: () => sends,
    end: (result: ForwardResult) => {
      settle(result);
    },
    fail: (err: Error) => {
      fail(err);
    },
  };
}

const unusable: readonly { name: string; grant: GrantId; isRequested: boolean }[] = [
  { name: "that was never issued", grant: GrantId(`${BOOT}.1`), isRequested: false },
  {
    name: "of an earlier incarnation of the process",
    grant: GrantId("earlier.1"),
    isRequested: true,
  },
];

for (const { name, grant, isRequested } of unusable) {
  test(`target runner: a request with a grant ${name} is reported as not run`, async (t) => {
    const { run, requestGrant, sends } = rig();
    if (isRequested) {
      requestGrant();
    }
    const out = await run({ attempt, target, grant });
    t.is(out.verdict.kind, "not-run");
    t.is(sends(), 0);
  });
}

test("target runner: a request that is sent repeatedly runs once per grant", async (t) => {
  // The connection is reset after a request was sent, and the sidecar sends the request again. The booking must not be
  // made twice.
  const { requestGrant, run, end, sends } = rig();
  const grant = requestGrant();
  const sent = [run(grant), run(grant)];
  end(results.done);
  sent.push(run(grant));
  const kinds = (await Promise.all(sent)).map((out) => out.verdict.kind);
  t.deepEqual(kinds, ["done", "done", "done"]);
  t.is(sends(), 1);
});

test("target runner: a sender that lost its connection can reattach during the run and after it", async (t) => {
  const { requestGrant, run, end, runner } = rig();
  const grant = requestGrant();
  void run(grant);
  const joined = runner.state(grant);
  t.is(joined.kind, "running");
  end(results.done);
  t.is(joined.kind === "running" && (await joined.result).verdict.kind, "done");
  const later = runner.state(grant);
  t.is(later.kind === "ended" && later.result.verdict.kind, "done");
});

test("target runner: an attempt that was reported as not run never runs, even if its request arrives later", async (t) => {
  // A request is delayed by a network partition, and its sender reattaches over a new connection. The reply is that
  // nothing has run, which must remain true when the request arrives after all.
  const { requestGrant, run, runner, sends } = rig();
  const grant = requestGrant();
  const state = runner.state(grant);
  t.is(state.kind === "ended" && state.result.verdict.kind, "not-run");
  const late = await run(grant);
  t.is(late.verdict.kind, "not-run");
  t.is(sends(), 0);
});

test("target runner: a run of an earlier incarnation of the process is unknown, not reported as not run", (t) => {
  const { runner } = rig();
  t.is(runner.state({ attempt, target, grant: GrantId("earlier.1") }).kind, "unknown");
});

test("target runner: a grant that another request has used gives neither its response nor a run", async (t) => {
  // Guards against the response to another caller's request, after a restarted sidecar was given an old grant again.
  const { requestGrant, run, end, runner, sends } = rig();
  const ref = requestGrant();
  const first = run(ref);
  const other = { ...ref, attempt: AttemptId("b") };
  t.is((await run(other)).verdict.kind, "not-run");
  end(results.done);
  await first;
  t.is((await run(other)).verdict.kind, "not-run");
  const state = runner.state(other);
  t.is(state.kind === "ended" && state.result.verdict.kind, "not-run");
  t.is(sends(), 1);
});

test("target runner: a run that ends with an error has an unknown outcome, and gives up its slot", async (t) => {
  // Guards against a sidecar that exits, on an unhandled rejection, with all requests that it has in flight.
  const { requestGrant, run, fail, gate } = rig();
  const running = run(requestGrant());
  fail(new Error("no more memory"));
  t.is((await running).verdict.kind, "may-have-run");
  t.is(gate.load.busy, 0);
});

test("target runner: the time of a streamed response counts from the start of its run to its end", async (t) => {
  // Guards against a stopping sidecar that is granted downloads which outlast it, as only their starts were timed.
  const { clock, requestGrant, run, end, gate } = rig();
  const recorded: (number | undefined)[] = [];
  gate.recordStreamEnd = (_outcome, ms) => recorded.push(ms);
  const running = run(requestGrant());
  await clock.advance(300);
  let endStream: (outcome: AttemptOutcome) => void = () => undefined;
  const ended = new Promise<AttemptOutcome>((resolve) => (endStream = resolve));
  end({ ...results.done, body: Readable.from([]), ended });
  await running;
  await clock.advance(2000);
  t.deepEqual(recorded, []);
  endStream(AttemptOutcome.Ok);
  await clock.advance(0);
  t.deepEqual(recorded, [2300]);
});

test("target runner: a slot stays in use until its target has sent the whole streamed response", async (t) => {
  // Guards against runs that wait at a target whose slots are in use, and are cut by the exit of a stopping sidecar.
  const { gate, run, requestGrant, end } = rig();
  const running = run(requestGrant());
  end({ ...results.done, body: Readable.from([]), ended: new Promise(() => undefined) });
  await running;
  t.true(gate.isBusy);
});

test("run table: old runs are removed", async (t) => {
  const { clock, requestGrant, run, end, runs } = rig();
  const ref = requestGrant();
  const first = run(ref);
  end(results.done);
  await first;
  await clock.advance(RETENTION_MS);
  runs.track({ attempt, grant: GrantId("b") }, Promise.resolve(results.done), 0);
  t.is(runs.size, 1);
  t.is(runs.state(ref).kind, "unknown");
});

test("target runner: a run is not reported as not run before its deadline, however long ago it ended", async (t) => {
  const { clock, requestGrant, run, end, runs, runner } = rig();
  const ref = requestGrant();
  const first = run(ref, { deadlineAt: 2 * RETENTION_MS });
  end(results.done);
  await first;
  await clock.advance(RETENTION_MS);
  runs.track({ attempt, grant: GrantId("b") }, Promise.resolve(results.done), 0);
  const state = runner.state(ref);
  t.is(state.kind === "ended" && state.result.verdict.kind, "done");
});

test("run table: results beyond the size limit are dropped oldest first and reported as forgotten", async (t) => {
  const runs = new RunTable(new FakeClock());
  const large = { ...results.done, body: Buffer.alloc(12 << 20) };
  for (const name of ["a", "b", "c"]) {
    const run = Promise.resolve(large);
    runs.track({ attempt, grant: GrantId(name) }, run, 0);
    await run;
  }
  const kinds = ["a", "b", "c"].map((name) => runs.state({ attempt, grant: GrantId(name) }).kind);
  t.deepEqual(kinds, ["forgotten", "ended", "ended"]);
});

const failures: readonly { name: string; callIsServed: boolean; countsAgainstTarget: boolean }[] = [
  {
    name: "after a nested call was lost does not count against the target",
    callIsServed: false,
    countsAgainstTarget: false,
  },
  {
    name: "although its nested call was served counts against the target",
    callIsServed: true,
    countsAgainstTarget: true,
  },
];

for (const { name, callIsServed, countsAgainstTarget } of failures) {
  test(`target runner: a run that fails ${name}`, async (t) => {
    // Sign-offs make nested calls to the reports service and fail when it fails. Counted against the targets that ran
    // the sign-offs, these failures got healthy targets ejected across the fleet.
    const { run, requestGrant, end, activeRuns, reported } = rig();
    const running = run(requestGrant());
    activeRuns.beginCall({ route: "index", service: "reports", weight: 1 })(callIsServed);
    end(results.failed);
    const out = await running;
    t.is(out.outcome, AttemptOutcome.Failed, "the sender gets the failure");
    t.deepEqual(reported, [
      countsAgainstTarget ? AttemptOutcome.Failed : AttemptOutcome.NestedCallFailed,
    ]);
  });
}
