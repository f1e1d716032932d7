import test from "ava";
import bunyan from "bunyan";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
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

/** The gates beside one target with a single slot that runs what it is given until it is lost. */
function rig() {
  const clock = new FakeClock();
  const beside = [makeTarget("x", { slots: 1, born: 100 })];
  const renewed: number[] = [];
  const detectors: HealthDetector[] = [];
  const grants = new GrantIds("this process");
  const gates = new TargetGates({
    targets: () => beside,
    detectorOf: () => {
      const detector = { ...AlwaysHealthyDetector };
      detectors.push(detector);
      return detector;
    },
    clock,
    grants,
    log,
    onNewLife: ({ born }) => renewed.push(born),
  });
  const runner = new TargetRunner({
    gates,
    runs: new RunTable(clock),
    here: new ActiveRuns(clock),
    target: () => beside[0],
    send: (_target, { lost }) =>
      new Promise<ForwardResult>((resolve) => {
        lost?.addEventListener("abort", () => {
          resolve({
            verdict: {
              kind: "may-have-run",
              target: ID,
              reason: "lost",
              timedOut: false,
              retryAfterMs: 0,
            },
            outcome: AttemptOutcome.NoAnswer,
          });
        });
      }),
    grants,
    log,
  });
  const replies = new Map<string, SlotReply["kind"]>();
  const given = new Map<string, GrantId>();
  const ask = (attempt: string) =>
    gates.get(ID)?.requestSlot(makeSlotRequest({ attempt }), (reply) => {
      replies.set(attempt, reply.kind);
      if (reply.kind === "granted") {
        given.set(attempt, reply.grant);
      }
    });
  const run = (attempt: string) =>
    runner.run(
      { attempt: AttemptId(attempt), target: ID, grant: given.get(attempt) ?? GrantId("none") },
      () => ({}) as TargetRequest,
    );
  const startAgain = () => {
    beside[0] = makeTarget("x", { slots: 1, born: 200 });
    gates.targetsChanged();
  };
  return { gates, detectors, renewed, replies, ask, run, startAgain };
}

// Story: a target crashes behind a cut, so that no connection is reset, and starts again under its
// id. What it was working on is lost. Without this, the caller waited until its deadline, and the
// slot counted as taken for as long, in a target that had nothing to do.
test("gates: what runs at a target that starts again ends at once, in doubt, and its slots are free", async (t) => {
  const { ask, run, startAgain, replies, renewed } = rig();
  ask("a");
  const lost = run("a");
  startAgain();
  t.is((await lost).verdict.kind, "may-have-run");
  ask("b");
  t.is(replies.get("b"), "granted");
  t.deepEqual(renewed, [200], "kept connections are left behind");
});

test("gates: a grant of a target's last life has expired in the next", async (t) => {
  const { ask, run, startAgain } = rig();
  ask("a");
  startAgain();
  t.is((await run("a")).verdict.kind, "not-run");
});

test("gates: what waits for a target that starts again is told to go elsewhere", (t) => {
  const { ask, startAgain, replies } = rig();
  ask("a");
  ask("b");
  startAgain();
  t.is(replies.get("b"), "refused");
});

test("gates: a target that starts again is judged afresh", (t) => {
  const { gates, detectors, startAgain } = rig();
  gates.get(ID);
  startAgain();
  gates.get(ID);
  t.is(detectors.length, 2);
});
