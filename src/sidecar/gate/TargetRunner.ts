import type bunyan from "bunyan";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import type { Gate } from "./Gate.ts";
import type { RunGuard } from "../quarantine/RunGuard.ts";
import type { GrantIds } from "./GrantIds.ts";
import type { ActiveRuns } from "./ActiveRuns.ts";
import type { RunState, RunTable } from "./RunTable.ts";
import type { TargetGates } from "./TargetGates.ts";
import { unknownOutcome } from "./unknownOutcome.ts";
import { EXPIRED_GRANT } from "./EXPIRED_GRANT.ts";

/** Identifies a grant in a request of its holder. */
export interface GrantRef {
  readonly attempt: AttemptId;
  readonly target: TargetId;
  readonly grant: GrantId;
}

interface TargetRunnerDeps {
  readonly gates: Pick<TargetGates, "get">;
  readonly runs: RunTable;
  readonly activeRuns: ActiveRuns;
  /** Looks up a local target. */
  readonly target: (id: TargetId) => TargetInfo | undefined;
  /** Sends a request to the target; if it has an idempotency key, at most once under that key. */
  readonly send: (target: TargetInfo, req: TargetRequest) => Promise<ForwardResult>;
  readonly guard: Pick<RunGuard, "refuse" | "examine">;
  readonly grants: Pick<GrantIds, "isOwn">;
  readonly clock: Clock;
  readonly log: bunyan;
}

/** Runs requests at the local targets, once for each grant, and reports the state of each run. */
export class TargetRunner {
  readonly #deps: TargetRunnerDeps;

  constructor(deps: TargetRunnerDeps) {
    this.#deps = deps;
  }

  /**
   * Keeps the slot of a request while its body is being received; false if the grant has expired. The upload of a
   * large body over a slow link takes longer than a grant is valid.
   */
  hold({ target, grant }: GrantRef): boolean {
    return this.#deps.gates.get(target)?.hold(grant) ?? false;
  }

  /** Releases the slot of a request whose upload was aborted. */
  release({ target, grant }: GrantRef): void {
    this.#deps.gates.get(target)?.revoke(grant);
  }

  /** Runs the request of a grant, or returns the outcome of an earlier use of the grant. */
  run(ref: GrantRef, makeRequest: () => TargetRequest): Promise<ForwardResult> {
    const target = this.#deps.target(ref.target);
    const gate = this.#deps.gates.get(ref.target);
    if (!target || !gate?.isPending(ref.grant)) {
      return this.outcomeOf(ref);
    }
    const req = makeRequest();
    const refusal = this.#deps.guard.refuse(target, req);
    if (refusal) {
      gate.revoke(ref.grant);
      return Promise.resolve(refusal);
    }
    gate.redeem(ref.grant);
    const run = this.#send(gate, ref, target, req);
    this.#deps.runs.track(ref, run, req.deadlineAt);
    return run;
  }

  /**
   * Outcome of a request that cannot use its grant: that of the run that has used it, or `not-run` if the grant has
   * expired or was issued by an earlier incarnation of the process.
   */
  outcomeOf(ref: GrantRef): Promise<ForwardResult> {
    const state = this.#deps.runs.state(ref);
    switch (state.kind) {
      case "running":
      case "ended":
        return Promise.resolve(state.result);
      case "forgotten":
        return Promise.resolve(unknownOutcome(ref.target));
      case "unknown":
        return Promise.resolve(EXPIRED_GRANT);
    }
  }

  /**
   * State of a run, for a sender that lost its connection. An unused grant is revoked, so that its request can no
   * longer run once it is reported as not run.
   */
  state(ref: GrantRef): RunState {
    const { target, grant } = ref;
    if (this.#deps.gates.get(target)?.revoke(grant)) {
      return { kind: "ended", result: notRun("the grant was not taken") };
    }
    const state = this.#deps.runs.state(ref);
    if (state.kind === "unknown" && this.#deps.grants.isOwn(grant)) {
      // Every run of this incarnation is retained until after its deadline, and an expired grant stays expired.
      return { kind: "ended", result: notRun("the grant was not taken") };
    }
    return state;
  }

  async #send(
    gate: Gate,
    { attempt, grant }: GrantRef,
    target: TargetInfo,
    req: TargetRequest,
  ): Promise<ForwardResult> {
    const { activeRuns, clock, guard } = this.#deps;
    const activeRun = activeRuns.begin();
    const startedAt = clock.now();
    let outcome = AttemptOutcome.NoResponse;
    try {
      const sent = await this.#deps.send(target, { ...req, targetRestarted: gate.retired });
      const run = { target, req, startedAt };
      const result = await guard.examine(run, sent, gate.retired.aborted);
      outcome = this.#detectorOutcome(result, activeRun, { attempt, target: target.id });
      if ("ended" in result) {
        void result.ended?.then((streamOutcome) => {
          gate.recordStreamEnd(streamOutcome, clock.now() - startedAt);
        });
      }
      return { ...result, calls: activeRuns.callMeans };
    } catch (err) {
      this.#deps.log.error({ err, attempt, target: target.id }, "run ended with an error");
      return unknownOutcome(target.id);
    } finally {
      activeRun.end();
      gate.end(grant, outcome);
    }
  }

  /**
   * Outcome of a run as reported to the health detector. A run that fails or times out right after one of its nested
   * calls was not served fails because of that call. Counting it against the target would let a single gray service
   * get the targets of all services that call it ejected.
   */
  #detectorOutcome(
    { outcome }: ForwardResult,
    activeRun: ReturnType<ActiveRuns["begin"]>,
    names: { attempt: AttemptId; target: TargetId },
  ): AttemptOutcome {
    const isFailure = outcome === AttemptOutcome.Failed || outcome === AttemptOutcome.TimedOut;
    const lostCall = isFailure ? activeRun.takeLostCall() : undefined;
    if (!lostCall) {
      return outcome;
    }
    this.#deps.log.info({ ...names, lostCall }, "run failed after a lost nested call");
    return AttemptOutcome.NestedCallFailed;
  }
}

function notRun(reason: string): ForwardResult {
  return {
    verdict: { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS },
    outcome: AttemptOutcome.Cancelled,
  };
}
