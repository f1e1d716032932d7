/** The most retries a budget can save up, so a quiet spell cannot fund a storm. */
const MAX_TOKENS = 10;

/**
 * A retry budget: each first try earns `ratio` of a token and each retry
 * spends one, so retries stay within that fraction of traffic and a sick
 * service is not hit by a retry storm (as in gRPC's retry throttling, gRFC A6).
 */
export class RetryBudget {
  readonly #ratio: number;
  #tokens = MAX_TOKENS / 2;

  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  /** Records a first try. */
  onFirstTry(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + this.#ratio);
  }

  /** Spends a token for a retry; false when none is left. */
  tryRetry(): boolean {
    if (this.#tokens < 1) {
      return false;
    }
    this.#tokens -= 1;
    return true;
  }
}
