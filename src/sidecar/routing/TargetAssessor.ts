import type { TargetInfo } from "../../membership/TargetInfo.ts";
import { LONG_RUN_FACTOR } from "../gate/LONG_RUN_FACTOR.ts";
import { runAllowanceMs } from "../gate/runAllowanceMs.ts";
import type { Candidate } from "./Candidate.ts";
import { expectedWaitMs } from "./expectedWaitMs.ts";
import type { PickSnapshot } from "./PickSnapshot.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { TargetView, TargetViews } from "./TargetViews.ts";
import type { ZoneWaitEstimator } from "./ZoneWaitEstimator.ts";

/** What this sidecar believes about a target that is known as ready; the first that applies. */
export type TargetBelief = "leaving" | "suspect" | "unreachable" | "unknown" | "free" | "full";

interface TargetAssessorDeps {
  readonly views: TargetViews;
  readonly zoneWaits: Pick<ZoneWaitEstimator, "expectedMs">;
  /** Typical time that a request of the route takes at the target, ms. */
  readonly typicalMs: (route: RouteMatch, target: TargetInfo) => number;
}

/** Assesses targets for one request, by their gates' last reports: their health, the end of their sidecars, the wait. */
export class TargetAssessor {
  readonly #deps: TargetAssessorDeps;

  constructor(deps: TargetAssessorDeps) {
    this.#deps = deps;
  }

  /** What this sidecar believes about a target that is known as ready. */
  beliefAbout(snapshot: PickSnapshot, candidate: Candidate): TargetBelief {
    if (this.stopsTooSoon(snapshot, candidate)) {
      return "leaving";
    }
    if (this.isSuspected(snapshot, candidate)) {
      return "suspect";
    }
    if (candidate.view.link.isSuspect) {
      return "unreachable";
    }
    const load = this.#deps.views.freshLoad(candidate.view, snapshot.now);
    if (!load) {
      return "unknown";
    }
    const limitWaitMs = limitWaitAt(snapshot.now, candidate.view);
    return load.busy < load.slots && limitWaitMs === 0 ? "free" : "full";
  }

  /** Whether the co-located sidecar is being stopped and will exit before the request would end. */
  stopsTooSoon({ now, route, isRetryable }: PickSnapshot, { target, view }: Candidate): boolean {
    const typicalMs = this.#deps.typicalMs(route, target);
    return exitsInMs(now, view) < runAllowanceMs(typicalMs, isRetryable);
  }

  /**
   * The candidates to choose from for a request whose run must not be cut short: while any other may have room, none
   * whose co-located sidecar exits in less than {@link LONG_RUN_FACTOR} times the time reserved for a run.
   */
  preferLasting(snapshot: PickSnapshot, candidates: readonly Candidate[]): readonly Candidate[] {
    const { now, route, isRetryable } = snapshot;
    const lasting = candidates.filter(({ target, view }) => {
      const typicalMs = this.#deps.typicalMs(route, target);
      return exitsInMs(now, view) >= LONG_RUN_FACTOR * runAllowanceMs(typicalMs, isRetryable);
    });
    const mayHaveRoom = lasting.some((c) =>
      ["free", "unknown"].includes(this.beliefAbout(snapshot, c)),
    );
    return mayHaveRoom ? lasting : candidates;
  }

  /** Whether to avoid the target: it is ejected or, for a request that can't be retried, suspect. */
  isSuspected({ now, isRetryable }: PickSnapshot, { view }: Candidate): boolean {
    const health = this.#deps.views.freshHealth(view, now);
    return health !== undefined && (health.ejected || (health.suspect && !isRetryable));
  }

  /** Whether the target is ejected by its gate's last report. */
  isGray({ now }: Pick<PickSnapshot, "now">, { view }: Candidate): boolean {
    return this.#deps.views.freshHealth(view, now)?.ejected ?? false;
  }

  /** Probability that the target fails a request, by its gate's last report. */
  riskOf({ now }: Pick<PickSnapshot, "now">, { view }: Candidate): number {
    return this.#deps.views.freshHealth(view, now)?.risk ?? 0;
  }

  /** Expected wait for a grant, ms: for a free slot, and for the limit that the target names. */
  waitMs(snapshot: PickSnapshot, { target, view }: Candidate): number {
    const load = this.#deps.views.freshLoad(view, snapshot.now);
    const limitMs = limitWaitAt(snapshot.now, view);
    return load
      ? Math.max(
          limitMs,
          expectedWaitMs(load, load.serviceMs > 0 ? load.serviceMs : snapshot.typicalMs),
        )
      : Math.max(limitMs, this.#deps.zoneWaits.expectedMs(target.service, target.zone));
  }
}

/** Wait for the limit that a target names, by its gate's last report, ms; 0 if there is none, or it has passed. */
function limitWaitAt(now: number, { load, loadReceivedAt }: TargetView): number {
  return Math.max(0, (load?.limitWaitMs ?? 0) - (now - loadReceivedAt));
}

/**
 * Time until the co-located sidecar exits, ms; infinite unless it is being stopped. After the announced exit it may have
 * restarted, so the target may be picked again.
 */
function exitsInMs(now: number, { load, loadReceivedAt }: TargetView): number {
  if (load?.endsInMs === undefined) {
    return Infinity;
  }
  const remainingMs = load.endsInMs - (now - loadReceivedAt);
  return remainingMs > 0 ? remainingMs : Infinity;
}
