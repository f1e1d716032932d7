import type bunyan from "bunyan";
import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { TargetRequest } from "../forwarding/TargetRequest.ts";
import type { Gate } from "./Gate.ts";
import type { GrantIds } from "./GrantIds.ts";
import type { ActiveRuns } from "./ActiveRuns.ts";
import type { RunState, RunTable } from "./RunTable.ts";
import type { TargetGates } from "./TargetGates.ts";
import { unknownOutcome } from "./unknownOutcome.ts";
import { EXPIRED_GRANT } from "./EXPIRED_GRANT.ts";

/** A grant, as whoever was given it names it. */
export interface GrantRef {
  readonly attempt: AttemptId;
  readonly target: TargetId;
  readonly grant: GrantId;
}

interface TargetRunnerDeps {
  readonly gates: Pick<TargetGates, "get">;
  readonly runs: RunTable;
  readonly here: ActiveRuns;
  /** One of the targets beside this sidecar. */
  readonly target: (id: TargetId) => TargetInfo | undefined;
  /** Sends a request to the target, at most once under its idempotency key where it has one. */
  readonly send: (target: TargetInfo, req: TargetRequest) => Promise<ForwardResult>;
  readonly grants: Pick<GrantIds, "isOwn">;
  readonly log: bunyan;
}

/** Runs at a target what was granted a slot there, once for each grant, and knows how each run stands. */
export class TargetRunner {
  readonly #deps: TargetRunnerDeps;

  constructor(deps: TargetRunnerDeps) {
    this.#deps = deps;
  }

  /**
   * Keeps the slot of a request whose head has arrived while its body is on its way; false when the grant has expired.
   * A large body on a slow link takes longer than a grant lasts.
   */
  hold({ target, grant }: GrantRef): boolean {
    return this.#deps.gates.get(target)?.hold(grant) ?? false;
  }

  /** Gives back the slot of a request whose body broke off. */
  release({ target, grant }: GrantRef): void {
    this.#deps.gates.get(target)?.revoke(grant);
  }

  /** Runs the request that a grant was given for. */
  run(ref: GrantRef, makeRequest: () => TargetRequest): Promise<ForwardResult> {
    const target = this.#deps.target(ref.target);
    const gate = this.#deps.gates.get(ref.target);
    if (!target || !gate?.take(ref.grant)) {
      return this.outcomeOf(ref);
    }
    const req = makeRequest();
    const run = this.#send(gate, ref, target, req);
    this.#deps.runs.track(ref.grant, run, req.deadlineAt);
    return run;
  }

  /**
   * The outcome of a request that cannot use its grant: that of the run which used it already, or not-run where the
   * grant has run out, or was given by an earlier life of the process.
   */
  outcomeOf({ target, grant }: GrantRef): Promise<ForwardResult> {
    const state = this.#deps.runs.state(grant);
    switch (state.kind) {
      case "running":
      case "ended":
        return Promise.resolve(state.result);
      case "forgotten":
        return Promise.resolve(unknownOutcome(target));
      case "unknown":
        return Promise.resolve(EXPIRED_GRANT);
    }
  }

  /**
   * How a run stands, for whoever lost the connection to it. A grant that was not
   * taken is taken back: its request will never run.
   */
  state({ target, grant }: GrantRef): RunState {
    if (this.#deps.gates.get(target)?.revoke(grant)) {
      return { kind: "ended", result: notRun("the grant was not taken") };
    }
    const state = this.#deps.runs.state(grant);
    if (state.kind === "unknown" && this.#deps.grants.isOwn(grant)) {
      // Every run of this life is remembered, and a grant that has expired stays so.
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
    const activeRun = this.#deps.here.begin();
    let outcome = AttemptOutcome.NoAnswer;
    try {
      const result = await this.#deps.send(target, { ...req, lost: gate.retired });
      outcome = this.#detectorOutcome(result, activeRun, { attempt, target: target.id });
      return { ...result, calls: this.#deps.here.callMeans };
    } finally {
      activeRun.end();
      gate.end(grant, outcome);
    }
  }

  /**
   * What the end of a run says of the target. One that fails, or gives up with its time, right after a call of its
   * own was not served fails for want of that call: held against the target, one gray service has the targets of every
   * service that calls it ejected.
   */
  #detectorOutcome(
    { outcome }: ForwardResult,
    here: ReturnType<ActiveRuns["begin"]>,
    names: { attempt: AttemptId; target: TargetId },
  ): AttemptOutcome {
    const isFailure = outcome === AttemptOutcome.Failed || outcome === AttemptOutcome.TimedOut;
    const lostCall = isFailure ? here.takeLostCall() : undefined;
    if (!lostCall) {
      return outcome;
    }
    this.#deps.log.info({ ...names, lostCall }, "run failed with a call");
    return AttemptOutcome.CallLost;
  }
}

function notRun(reason: string): ForwardResult {
  return {
    verdict: { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS },
    outcome: AttemptOutcome.Cancelled,
  };
}
