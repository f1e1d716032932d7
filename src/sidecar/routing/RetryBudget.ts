import type { Clock } from "../../common/lifecycle/Clock.ts";
import { WindowSum } from "./WindowSum.ts";

/** How many extra requests a service may be sent beside its callers' own, over the whole fleet. */
export interface RetryBudgetRule {
  /** Extras, as a share of the service's requests in a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extras in a window besides, by all sidecars together. */
  readonly slack: number;
}

/**
 * Part of the allowance that is used: that a call is made anew by a repeated run is told by chance, and
 * sidecars do not all know the same number of members.
 */
const USED_SHARE = 0.9;

/** Members that the slack is shared by, at least: a sidecar that was just started knows few of them. */
const MIN_MEMBERS = 8;

/**
 * One sidecar's part of a service's retry budget, so that a sick service is not hit by
 * a retry storm (in the manner of gRPC's retry throttling, gRFC A6). Counted over a
 * sliding window: extras never exceed their share of the first tries in the same
 * window, so nothing that was saved up in a quiet spell can be spent in a storm. Each
 * sidecar keeps to its own requests, and to its part of the fleet's slack; the fleet
 * as a whole then keeps to the rule without counting together.
 */
export class RetryBudget {
  readonly #rule: RetryBudgetRule;
  readonly #clock: Clock;
  readonly #members: () => number;
  readonly #firstTries: WindowSum;
  readonly #extras: WindowSum;

  /** `members` is how many sidecars share the slack, those counted that were lost lately. */
  constructor(rule: RetryBudgetRule, clock: Clock, members: () => number) {
    this.#rule = rule;
    this.#clock = clock;
    this.#members = members;
    this.#firstTries = new WindowSum(rule.windowMs);
    this.#extras = new WindowSum(rule.windowMs);
  }

  /** Records a first try; with a weight below 1 one that is a caller's own with that chance only. */
  onFirstTry(weight = 1): void {
    this.#firstTries.add(weight, this.#clock.now());
  }

  /** Records what is an extra request with the chance `weight`, and was made without leave. */
  noteExtra(weight: number): void {
    this.#extras.add(weight, this.#clock.now());
  }

  /** Takes leave for an extra request; false when there is none left. */
  tryRetry(): boolean {
    if (!this.hasRoom) {
      return false;
    }
    this.#extras.add(1, this.#clock.now());
    return true;
  }

  /** An extra request may be made now. */
  get hasRoom(): boolean {
    const { extras, allowed } = this.figures;
    return extras + 1 <= allowed;
  }

  /** What is counted in the window that ends now, and how many extras that allows. */
  get figures(): { firstTries: number; extras: number; allowed: number } {
    const now = this.#clock.now();
    const { ratio, slack } = this.#rule;
    const firstTries = this.#firstTries.valueAt(now);
    const ownSlack = slack / Math.max(MIN_MEMBERS, this.#members());
    const allowed = USED_SHARE * (ratio * firstTries + ownSlack);
    return { firstTries, extras: this.#extras.valueAt(now), allowed };
  }
}
