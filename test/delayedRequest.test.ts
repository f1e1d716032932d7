import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import bunyan from "bunyan";
import { TargetId } from "../src/common/ids/TargetId.ts";
import { SystemClock } from "../src/common/lifecycle/SystemClock.ts";
import { noTracing } from "../src/common/telemetry/noTracing.ts";
import { AlwaysHealthyDetector } from "../src/sidecar/detection/AlwaysHealthyDetector.ts";
import { Gate } from "../src/sidecar/gate/Gate.ts";
import { GateServer } from "../src/sidecar/gate/GateServer.ts";
import { GrantIds } from "../src/sidecar/gate/GrantIds.ts";
import { ActiveRuns } from "../src/sidecar/gate/ActiveRuns.ts";
import { RunTable } from "../src/sidecar/gate/RunTable.ts";
import { TargetRunner } from "../src/sidecar/gate/TargetRunner.ts";
import type { SlotReply } from "../src/sidecar/hop/SlotReply.ts";
import { HopClient } from "../src/sidecar/hop/HopClient.ts";
import { Dispatcher } from "../src/sidecar/routing/Dispatcher.ts";
import { RetryBudgets } from "../src/sidecar/routing/RetryBudgets.ts";
import { eventually } from "./fixtures/eventually.ts";
import { FakeClock } from "./fixtures/FakeClock.ts";
import { makeQuarantine } from "./fixtures/makeQuarantine.ts";
import { openGuard } from "./fixtures/openGuard.ts";
import { FixedPolicy } from "./fixtures/FixedPolicy.ts";
import { DelayProxy } from "./fixtures/DelayProxy.ts";
import { makeCallerRequest } from "./fixtures/makeCallerRequest.ts";
import { makeRoute } from "./fixtures/makeRoute.ts";
import { makeTarget } from "./fixtures/makeTarget.ts";
import { results } from "./fixtures/results.ts";

const TARGET = TargetId("x");
const DEADLINE_MS = 8000;
const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** Starts a dispatcher, and a gate to one target behind a link that buffers what is sent over it. */
async function setUp(t: ExecutionContext, runMs: number) {
  // On a fake clock grants do not expire, however slow the machine.
  const clock = new FakeClock();
  const grants = new GrantIds("incarnation-1");
  const gate = new Gate({
    target: () => ({ slots: 2, acceptsRequests: true }),
    detector: AlwaysHealthyDetector,
    clock,
    grants,
  });
  const counts = { slotRequests: 0, arrivals: 0, runs: 0 };
  const runner = new TargetRunner({
    gates: { get: () => gate },
    runs: new RunTable(clock),
    activeRuns: new ActiveRuns(clock),
    guard: openGuard,
    clock,
    target: () => makeTarget(TARGET),
    send: async () => {
      counts.runs += 1;
      await sleep(runMs);
      return results.done;
    },
    grants,
    log,
  });
  const { server } = new GateServer({ runner, tracing: noTracing, clock, log });
  server.prependListener("request", () => (counts.arrivals += 1));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const link = new DelayProxy((server.address() as AddressInfo).port);
  const address = await link.start();
  const hop = new HopClient({
    requestSlot: (_address, req) => {
      counts.slotRequests += 1;
      let ticket: ReturnType<Gate["requestSlot"]> | undefined;
      const result = new Promise<SlotReply>((resolve) => (ticket = gate.requestSlot(req, resolve)));
      return { result, cancel: () => ticket?.withdraw() };
    },
  });
  const dispatcher = new Dispatcher({
    policy: new FixedPolicy([makeTarget(TARGET, { hopAddress: address, askAddress: address })]),
    hop,
    quarantine: makeQuarantine(SystemClock).quarantine,
    callerService: "desk",
    budgets: new RetryBudgets({
      rule: () => ({ ratio: 0.2, windowMs: 10_000, slack: 100 }),
      members: () => 1,
      clock: SystemClock,
      startedAt: -Infinity,
      random: () => 0,
    }),
    clock: SystemClock,
    log,
  });
  t.teardown(async () => {
    await hop.dispose();
    link.stop();
    server.closeAllConnections();
    server.close();
  });
  return { link, dispatcher, counts };
}

const cases = [
  { name: "short run", runMs: 0 },
  { name: "long run", runMs: 500 },
];

for (const { name, runMs } of cases) {
  test(`a delayed run request does not run on a later grant of the same attempt: ${name}`, async (t) => {
    const { link, dispatcher, counts } = await setUp(t, runMs);
    const startedAt = SystemClock.now();
    const request = makeCallerRequest({
      method: "POST",
      startedAt,
      deadlineAt: startedAt + DEADLINE_MS,
    });
    const dispatched = dispatcher.dispatch(makeRoute({ idempotent: false }), request);
    await eventually(() => link.connections[1]?.isBuffering === true);
    const [delayedRun, reattach] = link.connections;
    reattach?.release();
    // The attempt has its second grant, and the run request that uses it is buffered as well.
    await eventually(
      () => counts.slotRequests === 2 && link.connections.slice(1).some((c) => c.isBuffering),
    );
    const before = counts.arrivals;
    delayedRun?.release();
    await eventually(() => counts.arrivals > before);
    link.stopBuffering();
    const { verdict } = await dispatched;
    t.deepEqual({ verdict: verdict.kind, runs: counts.runs }, { verdict: "done", runs: 1 });
  });
}
