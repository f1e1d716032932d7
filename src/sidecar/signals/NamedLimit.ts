import type { LimitSignal } from "./LimitSignal.ts";

/**
 * The limit that a target names, as known from its responses. Responses that are in transit at the same time may arrive
 * in another order than they were sent, so a higher limit, or none, is only believed from the response to a request
 * that was sent after the present limit was last named.
 */
export class NamedLimit {
  #perS: number | undefined;
  #namedAt = -Infinity;

  /** Requests a second; undefined if the target names no limit. */
  get perS(): number | undefined {
    return this.#perS;
  }

  /**
   * Records what a response says.
   *
   * @param sentAt when its request was sent, ms
   * @param now when the response arrived, by the same clock, ms
   */
  record(signal: LimitSignal, sentAt: number, now: number): void {
    if (signal.kind === "invalid") {
      return;
    }
    const perS = signal.kind === "limit" ? signal.perS : undefined;
    const isHigher = (perS ?? Infinity) > (this.#perS ?? Infinity);
    if (isHigher && sentAt < this.#namedAt) {
      return;
    }
    this.#perS = perS;
    this.#namedAt = perS === undefined ? -Infinity : now;
  }
}
