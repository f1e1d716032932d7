import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { openGuard } from "../../../test/fixtures/openGuard.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { makeTarget } from "../../../test/fixtures/makeTarget.ts";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { GrantId } from "../../common/ids/GrantId.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { AlwaysHealthyDetector } from "../detection/AlwaysHealthyDetector.ts";
import type { HealthDetector } from "../detection/HealthDetector.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import { GrantIds } from "./GrantIds.ts";
import { ActiveRuns } from "./ActiveRuns.ts";
import { RunTable } from "./RunTable.ts";
import { TargetGates } from "./TargetGates.ts";
import { TargetRunner } from "./TargetRunner.ts";

const ID = TargetId("x");
const log = bunyan.createLogger({ name: "test", level: "fatal" });

/** The gates of one local target with a single slot, whose runs last until they are aborted. */
function rig() {
  const clock = new FakeClock();
  const targets = [makeTarget("x", { slots: 1, born: 100 })];
  const restarts: number[] = [];
  const detectors: HealthDetector[] = [];
  const grants = new GrantIds("this process");
  const gates = new TargetGates({
    targets: () => targets,
    detectorOf: () => {
      const detector = { ...AlwaysHealthyDetector };
      detectors.push(detector);
      return detector;
    },
    clock,
    grants,
    log,
    onTargetRestart: ({ born }) => restarts.push(born),
  });
  const runner = new TargetRunner({
    gates,
    runs: new RunTable(clock),
    activeRuns: new ActiveRuns(clock),
    guard: openGuard,
    clock,
    target: () => targets[0],
    send: (_target, { targetRestarted }) =>
      new Promise<ForwardResult>((resolve) => {
        targetRestarted?.addEventListener("abort", () => {
          resolve({
            verdict: {
              kind: "may-have-run",
              target: ID,
              reason: "lost",
              timedOut: false,
              retryAfterMs: 0,
            },
            outcome: AttemptOutcome.NoResponse,
          });
        });
      }),
    grants,
    log,
  });
  const replies = new Map<string, SlotReply["kind"]>();
  const granted = new Map<string, GrantId>();
  const requestSlot = (attempt: string) =>
    gates.get(ID)?.requestSlot(makeSlotRequest({ attempt }), (reply) => {
      replies.set(attempt, reply.kind);
      if (reply.kind === "granted") {
        granted.set(attempt, reply.grant);
      }
    });
  const run = (attempt: string) =>
    runner.run(
      { attempt: AttemptId(attempt), target: ID, grant: granted.get(attempt) ?? GrantId("none") },
      () => ({}) as TargetRequest,
    );
  const restart = () => {
    targets[0] = makeTarget("x", { slots: 1, born: 200 });
    gates.targetsChanged();
  };
  return { gates, detectors, restarts, replies, requestSlot, run, restart };
}

// A target crashes during a network partition, so that no connection is reset, and restarts under the same id; its runs
// are lost. Without this, callers waited until their deadlines, and the slots of an idle target counted as in use.
test("target gates: runs of a restarted target end at once with an unknown outcome and free their slots", async (t) => {
  const { requestSlot, run, restart, replies, restarts } = rig();
  requestSlot("a");
  const lost = run("a");
  restart();
  t.is((await lost).verdict.kind, "may-have-run");
  requestSlot("b");
  t.is(replies.get("b"), "granted");
  t.deepEqual(restarts, [200], "pooled connections to the target are renewed");
});

test("target gates: a grant of the previous incarnation of a target has expired", async (t) => {
  const { requestSlot, run, restart } = rig();
  requestSlot("a");
  restart();
  t.is((await run("a")).verdict.kind, "not-run");
});

test("target gates: requests queued at a target that restarts are refused", (t) => {
  const { requestSlot, restart, replies } = rig();
  requestSlot("a");
  requestSlot("b");
  restart();
  t.is(replies.get("b"), "refused");
});

test("target gates: a restarted target gets a new health detector", (t) => {
  const { gates, detectors, restart } = rig();
  gates.get(ID);
  restart();
  gates.get(ID);
  t.is(detectors.length, 2);
});
