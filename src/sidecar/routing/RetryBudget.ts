import type { Clock } from "../../common/lifecycle/Clock.ts";

/** How many extra requests a service may be sent beside its callers' own, over the whole fleet. */
export interface RetryBudgetRule {
  /** Extras, as a share of the service's requests in a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extras in a window besides, by all sidecars together. */
  readonly slack: number;
}

/** Part of the allowance that is used: calls that a retried request makes anew count as well, unseen from here. */
const USED_SHARE = 0.75;

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
  /** When first tries and extras of the last window were made, ms. */
  readonly #firstTries: number[] = [];
  readonly #extras: number[] = [];

  /** `members` is how many sidecars share the slack, those counted that were lost lately. */
  constructor(rule: RetryBudgetRule, clock: Clock, members: () => number) {
    this.#rule = rule;
    this.#clock = clock;
    this.#members = members;
  }

  /** Records a first try. */
  onFirstTry(): void {
    this.#firstTries.push(this.#clock.now());
  }

  /** Takes leave for an extra request; false when there is none left. */
  tryRetry(): boolean {
    if (!this.hasRoom) {
      return false;
    }
    this.#extras.push(this.#clock.now());
    return true;
  }

  /** An extra request may be made now. */
  get hasRoom(): boolean {
    this.#forgetOld(this.#firstTries);
    this.#forgetOld(this.#extras);
    const { ratio, slack } = this.#rule;
    const ownSlack = slack / Math.max(MIN_MEMBERS, this.#members());
    const allowed = USED_SHARE * (ratio * this.#firstTries.length + ownSlack);
    return this.#extras.length + 1 <= allowed;
  }

  #forgetOld(times: number[]): void {
    const cutoff = this.#clock.now() - this.#rule.windowMs;
    const kept = times.findIndex((at) => at > cutoff);
    times.splice(0, kept < 0 ? times.length : kept);
  }
}
