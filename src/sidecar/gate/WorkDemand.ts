import type { Clock } from "../../common/lifecycle/Clock.ts";
import { UNSERVED_THRESHOLD } from "../hop/UNSERVED_THRESHOLD.ts";
import { SlidingWindowSum } from "../routing/SlidingWindowSum.ts";

/** Window over which the senders' reports of that share are averaged, ms. */
const REPORT_WINDOW_MS = 2000;

/** Number of reports below which their mean tells too little. */
const MIN_REPORTS = 4;

/** Time without a new run after which a target asks for idempotent requests, ms. */
const IDLE_LIMIT_MS = 600;

/** The same for any request: idempotent ones, which do less harm when they fail, come first. */
const IDLE_LIMIT_ANY_MS = 1300;

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

  /** Mean of the recent reports, 0 to 1; 0 without any. */
  get unservedShare(): number {
    const now = this.#clock.now();
    return this.#reportedShares.valueAt(now) / Math.max(1, this.#reports.valueAt(now));
  }

  /**
   * Whether the target asks for work. One that gets hardly any slot requests learns too little of its service, so it
   * asks as well; the requests that come then show whether the service is failing any.
   */
  get isActive(): boolean {
    const isUnknown = this.#reports.valueAt(this.#clock.now()) < MIN_REPORTS;
    return (isUnknown || this.#isServiceFailing) && this.#idleMs >= IDLE_LIMIT_MS;
  }

  /** Whether to accept a request that the target's health alone would not admit. */
  accepts(isIdempotent: boolean): boolean {
    const limitMs = isIdempotent ? IDLE_LIMIT_MS : IDLE_LIMIT_ANY_MS;
    return this.#isServiceFailing && this.#idleMs >= limitMs;
  }

  get #isServiceFailing(): boolean {
    return this.unservedShare >= UNSERVED_THRESHOLD;
  }

  get #idleMs(): number {
    return this.#clock.now() - this.#lastStartAt;
  }
}
