import type { HedgeCharge } from "./HedgeCharge.ts";

/**
 * Number of hedges for which a sidecar may save up. One is not enough for those that are sent while the first is still
 * running; with more, a quiet fleet could send a burst of hedges when a target turns slow.
 */
const MAX_SAVED_HEDGES = 2;

/**
 * How much target time this sidecar's hedges may add to one service: a share of the target time of the other runs that
 * it has sent there. It is an account rather than a sliding window: a sidecar with few requests, whose share of a
 * window is less than one hedge, saves up until it is one. Hedges are charged before they are sent, so the sum over all
 * sidecars stays within the share without coordination.
 */
export class HedgeAllowance {
  /**
   * Target time of runs that no hedge has drawn on, ms; negative while hedges have taken longer than expected. The
   * share is applied when it is drawn on, so a lowered share also applies to what was saved before.
   */
  #unusedMs = 0;
  #longestHedgeMs = 0;

  /** Records the target time of a run that is not a hedge, ms. */
  recordWork(ms: number): void {
    this.#unusedMs += ms;
  }

  /**
   * Sets target time aside for a hedge; undefined if the allowance is used up.
   *
   * @param expectedMs expected target time of the hedge, ms
   * @param share target time that hedges may add, as a share of the other runs' target time
   */
  take(expectedMs: number, share: number): HedgeCharge | undefined {
    if (share <= 0) {
      return undefined;
    }
    this.#longestHedgeMs = Math.max(this.#longestHedgeMs, expectedMs);
    const mostMs = (MAX_SAVED_HEDGES * this.#longestHedgeMs) / share;
    this.#unusedMs = Math.min(this.#unusedMs, mostMs);
    if (this.#unusedMs * share < expectedMs) {
      return undefined;
    }
    this.#unusedMs -= expectedMs / share;
    let isSettled = false;
    return {
      expectedMs,
      settle: (actualMs) => {
        this.#unusedMs += isSettled ? 0 : (expectedMs - actualMs) / share;
        isSettled = true;
      },
    };
  }
}
