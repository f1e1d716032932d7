import type bunyan from "bunyan";
import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { TargetState } from "../../membership/TargetState.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import type { EndedTargets } from "../liveness/EndedTargets.ts";
import { describeRequest } from "./describeRequest.ts";
import { fingerprintOf } from "./fingerprintOf.ts";
import { incarnationOf } from "./incarnationOf.ts";
import type { Quarantine } from "./Quarantine.ts";
import { quarantinedResult } from "./quarantinedResult.ts";

/** Number of ended targets that are remembered: the runs of one are lost within a moment. */
const MAX_ENDED = 8;

interface RunGuardDeps {
  readonly quarantine: Pick<
    Quarantine,
    "isActive" | "blockOf" | "remainingMs" | "noteRefused" | "recordCrash" | "recordCompletion"
  >;
  readonly endedTargets: Pick<EndedTargets, "check">;
  /** Looks up a local target. */
  readonly target: (id: TargetId) => TargetInfo | undefined;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** A run at a local target. */
interface GuardedRun {
  readonly target: TargetInfo;
  readonly req: TargetRequest;
  /** By the monotonic clock, ms. */
  readonly startedAt: number;
}

/** Guards the local targets against requests that crash them, and collects the evidence against such requests. */
export class RunGuard {
  readonly #deps: RunGuardDeps;
  /** The targets that were last found to have ended, newest last. */
  #ended: TargetId[] = [];

  constructor(deps: RunGuardDeps) {
    this.#deps = deps;
  }

  /** The refusal of a request that is blocked; undefined if it may run. */
  refuse({ service }: TargetInfo, req: TargetRequest): ForwardResult | undefined {
    const { quarantine } = this.#deps;
    const fingerprint = quarantine.isActive ? fingerprintOfRun(service, req) : undefined;
    const block = fingerprint && quarantine.blockOf(fingerprint);
    if (!block) {
      return undefined;
    }
    quarantine.noteRefused(req.metadata.attempt, block);
    return quarantinedResult(block, quarantine.remainingMs(block));
  }

  /**
   * Examines the result of a run, which is evidence for or against its request; returns it, marked if the target's
   * process has ended.
   *
   * @param isRestarted whether a new incarnation of the target has announced itself
   */
  async examine(
    run: GuardedRun,
    result: ForwardResult,
    isRestarted: boolean,
  ): Promise<ForwardResult> {
    const { quarantine } = this.#deps;
    // An error does not show that the request has run: a gray target may fail requests without running them.
    if (result.outcome === AttemptOutcome.Ok && quarantine.isActive) {
      const fingerprint = fingerprintOfRun(run.target.service, run.req);
      if (fingerprint) {
        quarantine.recordCompletion(fingerprint);
      }
    }
    if (result.outcome !== AttemptOutcome.NoResponse || !(await this.#hasEnded(run, isRestarted))) {
      return result;
    }
    if (result.verdict.kind === "may-have-run") {
      this.#recordCrash(run);
    }
    return { ...result, targetEnded: true };
  }

  /** Whether the target's process has ended without saying so: one that leaves cuts its last runs itself. */
  async #hasEnded({ target: { id, ...rest } }: GuardedRun, isRestarted: boolean): Promise<boolean> {
    const isLeaving = this.#isLeaving(id);
    const hasEnded = isRestarted || (await this.#deps.endedTargets.check({ id, ...rest }));
    if (hasEnded) {
      this.#ended = [...this.#ended.filter((other) => other !== id), id].slice(-MAX_ENDED);
    }
    return hasEnded && !isLeaving;
  }

  /** Whether a target has said that it leaves; one that has ended is no longer known either. */
  #isLeaving(id: TargetId): boolean {
    const target = this.#deps.target(id);
    return target ? target.state === TargetState.Draining : !this.#ended.includes(id);
  }

  #recordCrash({ target, req, startedAt }: GuardedRun): void {
    const { quarantine, clock, log } = this.#deps;
    const fingerprint = fingerprintOfRun(target.service, req);
    const { attempt } = req.metadata;
    const request = describeRequest(req);
    const ms = Math.round(clock.now() - startedAt);
    log.info({ attempt, target: target.id, fingerprint, request, ms }, "run lost with its target");
    if (fingerprint) {
      const { service } = target;
      const incarnation = incarnationOf(target);
      quarantine.recordCrash({ fingerprint, service, request, target: incarnation, startedAt });
    }
  }
}

function fingerprintOfRun(service: string, req: TargetRequest): RequestFingerprint | undefined {
  return fingerprintOf(service, { ...req, workspace: req.metadata.workspace });
}
