import type { Clock } from "../../common/lifecycle/Clock.ts";

/** How many extra requests a service may be sent beside its callers' own, over the whole fleet. */
export interface RetryBudgetRule {
  /** Extras, as a share of the service's requests in a window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Extras in a window besides, by all sidecars together. */
  readonly slack: number;
}

/** Part of the allowance that is used: requests made by a retried request count as well, unseen from here. */
const USED_SHARE = 0.8;

/** A budget below one token could never be spent. */
const MIN_CAPACITY = 1;

/**
 * One sidecar's part of a service's retry budget (in the manner of gRPC's retry
 * throttling, gRFC A6), so that a sick service is not hit by a retry storm. Each first
 * request earns its fraction of a token. The fleet's slack is divided by the members
 * known, half of it as a reserve and half earned back over a window, so that no
 * window sees more than all of it.
 */
export class RetryBudget {
  readonly #rule: RetryBudgetRule;
  readonly #clock: Clock;
  readonly #members: () => number;
  #tokens: number;
  #at: number;

  /** `members` is how many sidecars share the slack. */
  constructor(rule: RetryBudgetRule, clock: Clock, members: () => number) {
    this.#rule = rule;
    this.#clock = clock;
    this.#members = members;
    this.#tokens = this.#capacity;
    this.#at = clock.now();
  }

  /** Records a first try. */
  onFirstTry(): void {
    this.#earn(this.#rule.ratio * USED_SHARE);
  }

  /** Spends a token for an extra request; false when none is left. */
  tryRetry(): boolean {
    this.#earn(0);
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }

  get #capacity(): number {
    const share = (this.#rule.slack * USED_SHARE) / Math.max(1, this.#members());
    return Math.max(MIN_CAPACITY, share / 2);
  }

  #earn(tokens: number): void {
    const now = this.#clock.now();
    const capacity = this.#capacity;
    const back = (capacity * (now - this.#at)) / this.#rule.windowMs;
    this.#at = now;
    // What first tries earn may be saved up for one window's worth of them.
    this.#tokens = Math.min(
      capacity + this.#rule.ratio * this.#rule.windowMs * RATE_CAP,
      this.#tokens + back + tokens,
    );
  }
}

/** First tries a ms for which earnings are saved up, at most: 20 a second. */
const RATE_CAP = 0.02;
