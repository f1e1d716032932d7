import type { Clock } from "../../common/lifecycle/Clock.ts";
import { SlidingWindowSum } from "./SlidingWindowSum.ts";

/** How many extra requests a service may be sent beside its callers' own, over the whole fleet. */
export interface RetryBudgetRule {
  /** Extras, as a share of the service's requests in a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extras in a window besides, by all sidecars together. */
  readonly slack: number;
}

/**
 * Part of the allowance that is used: the calls that a repeated run makes are reckoned by their mean, rounding
 * makes shares a little larger or smaller, and sidecars do not all know the same number of members.
 */
const USED_SHARE = 0.85;

/** Members that the slack is shared by, at least: a sidecar that was just started knows few of them. */
const MIN_MEMBERS = 8;

interface RetryBudgetDeps {
  readonly rule: () => RetryBudgetRule;
  readonly clock: Clock;
  /** How many sidecars share the slack, those counted that were lost lately. */
  readonly members: () => number;
  /** Start of this process, by the clock, ms. */
  readonly startedAt: number;
  /** Of the last extra request, the part that there must be room for: above 0, at most 1, and another in each process. */
  readonly rounding: number;
}

/**
 * One sidecar's part of a service's retry budget, so that a sick service is not hit by
 * a retry storm (in the manner of gRPC's retry throttling, gRFC A6). Counted over a
 * sliding window: extras never exceed their share of the first tries in the same
 * window, so nothing that was saved up in a quiet spell can be spent in a storm. Each
 * sidecar keeps to its own requests, and to its part of the fleet's slack; the fleet
 * as a whole then keeps to the rule without counting together.
 */
export class RetryBudget {
  readonly #deps: RetryBudgetDeps;
  readonly #firstTries: SlidingWindowSum;
  readonly #extras: SlidingWindowSum;

  constructor(deps: RetryBudgetDeps) {
    this.#deps = deps;
    const { windowMs } = deps.rule();
    this.#firstTries = new SlidingWindowSum(windowMs);
    this.#extras = new SlidingWindowSum(windowMs);
  }

  /** Records a first try of a caller's own request. */
  onFirstTry(): void {
    this.#firstTries.add(1, this.#deps.clock.now());
  }

  /**
   * Whether `n` extra requests may be made now; part of one where that is told by a mean. A share is a few requests
   * and a fraction; were the fraction always cut off, a fleet of 24 would use two thirds of what it has. Each
   * process rounds at a place of its own instead, and the fleet as a whole neither gains nor loses by it.
   */
  hasRoomFor(n: number): boolean {
    const { extras, allowed } = this.figures;
    return extras + n * this.#deps.rounding <= allowed;
  }

  /** Whether `n` extra requests may be made now by another sidecar: for that, a fraction that is left is not rounded up. */
  hasRoomToLend(n: number): boolean {
    const { extras, allowed } = this.figures;
    return extras + n <= allowed;
  }

  /** Records `n` extra requests. */
  spend(n: number): void {
    this.#extras.add(n, this.#deps.clock.now());
  }

  /** What is counted in the window that ends now, and how many extras that allows. */
  get figures(): { firstTries: number; extras: number; allowed: number } {
    const now = this.#deps.clock.now();
    const firstTries = this.#firstTries.valueAt(now);
    const allowed = USED_SHARE * (this.#deps.rule().ratio * firstTries + this.#ownSlack(now));
    return { firstTries, extras: this.#extras.valueAt(now), allowed };
  }

  /**
   * This sidecar's part of the slack: none for the first window of its process. The life before may have used
   * it, and the window would hold both: 96 extras for a slack of 58, had a fleet of 24 been restarted in a storm.
   */
  #ownSlack(now: number): number {
    const { slack, windowMs } = this.#deps.rule();
    const isNew = now - this.#deps.startedAt < windowMs;
    return isNew ? 0 : slack / Math.max(MIN_MEMBERS, this.#deps.members());
  }
}
