import type { Clock } from "../../common/lifecycle/Clock.ts";
import { UNSERVED_THRESHOLD } from "../hop/UNSERVED_THRESHOLD.ts";
import { SlidingWindowSum } from "../routing/SlidingWindowSum.ts";

/** Window over which the senders' reports of that share are averaged, ms. */
const REPORT_WINDOW_MS = 2000;

/** Number of reports below which their mean tells too little. */
const MIN_REPORTS = 4;

/** Time limits of idleness for one class of requests, ms. */
interface IdleLimits {
  /** Time without a new run after which the target takes a request. */
  readonly idleMs: number;
  /**
   * The same after its last run that failed: most of such targets fail the next one, too, and the floor counts a target as
   * healthy again 2 s after a failure.
   */
  readonly afterFailureMs: number;
}

/** Limits for idempotent requests, which do less harm when they fail, and later for any. */
const IDEMPOTENT: IdleLimits = { idleMs: 600, afterFailureMs: 2600 };
const ANY: IdleLimits = { idleMs: 1300, afterFailureMs: 3300 };

/**
 * Decides whether a target asks the senders of its service for work. While many requests of a service are not served,
 * no ready target stays idle: a suspicion that keeps all requests away would also keep away the evidence that could
 * refute it.
 */
export class WorkDemand {
  readonly #clock: Clock;
  readonly #reports = new SlidingWindowSum(REPORT_WINDOW_MS);
  readonly #reportedShares = new SlidingWindowSum(REPORT_WINDOW_MS);
  #lastStartAt: number;
  #lastFailureAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastStartAt = clock.now();
  }

  /** Records the unserved share of the service's requests at the sender of a slot request, 0 to 1. */
  recordReport(unservedShare: number): void {
    const now = this.#clock.now();
    this.#reports.add(1, now);
    this.#reportedShares.add(unservedShare, now);
  }

  /** Records that a run has begun. */
  recordStart(): void {
    this.#lastStartAt = this.#clock.now();
  }

  /** Records that a run has failed. */
  recordFailure(): void {
    this.#lastFailureAt = this.#clock.now();
  }

  /** Mean of the recent reports, 0 to 1; 0 without any. */
  get unservedShare(): number {
    const now = this.#clock.now();
    return this.#reportedShares.valueAt(now) / Math.max(1, this.#reports.valueAt(now));
  }

  /** Whether senders report that too many of the service's requests are not served. */
  get isServiceFailing(): boolean {
    return this.unservedShare >= UNSERVED_THRESHOLD;
  }

  /**
   * Whether the target asks for work. One that gets hardly any slot requests learns too little of its service, so it
   * asks as well; the requests that come then show whether the service is failing any.
   */
  get isActive(): boolean {
    const isUnknown = this.#reports.valueAt(this.#clock.now()) < MIN_REPORTS;
    return (isUnknown || this.isServiceFailing) && this.#exceeds(IDEMPOTENT);
  }

  /** Whether to accept a request that the target's health alone would not admit. */
  accepts(isIdempotent: boolean): boolean {
    return this.isServiceFailing && this.#exceeds(isIdempotent ? IDEMPOTENT : ANY);
  }

  #exceeds({ idleMs, afterFailureMs }: IdleLimits): boolean {
    const now = this.#clock.now();
    return now - this.#lastStartAt >= idleMs && now - this.#lastFailureAt >= afterFailureMs;
  }
}
