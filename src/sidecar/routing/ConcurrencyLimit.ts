/** Answers in a row, as a multiple of the limit, that raise the limit by one. */
const GROWTH_PER_ANSWER = 0.5;

/**
 * How many requests this sidecar keeps at one target at once: additive
 * increase on answers, halved when the target sheds (AIMD, as in Chiu and Jain,
 * "Analysis of the Increase and Decrease Algorithms", 1989). Sidecars share a
 * target's slots without telling each other: each one's limit settles at its
 * share.
 */
export class ConcurrencyLimit {
  readonly #slots: number;
  #limit: number;

  /** `slots` is what the target announced; the limit never exceeds it. */
  constructor(slots: number) {
    this.#slots = slots;
    this.#limit = slots;
  }

  /** Requests allowed in flight now, at least 1. */
  get value(): number {
    return Math.floor(this.#limit);
  }

  /** A request ended with an answer. */
  onAnswer(): void {
    this.#limit = Math.min(this.#slots, this.#limit + GROWTH_PER_ANSWER / this.#limit);
  }

  /** The target shed a request for want of room. */
  onShed(): void {
    this.#limit = Math.max(1, this.#limit / 2);
  }
}
