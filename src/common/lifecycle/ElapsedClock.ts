/** Difference between the advances of the two clocks up to which they count as equal, ms. */
const TOLERANCE_MS = 20;

/**
 * A clock for the age of what other processes have confirmed. The monotonic clock stands still while a VM is suspended,
 * so that by it a confirmation from before a suspension would still look recent. This clock advances with the monotonic
 * one, and in addition whenever the time of day has advanced further: after a suspension, and also when the time of day
 * is set forward, where a confirmation is only renewed early. It does not notice a suspension during which the time of
 * day is set back by as much.
 */
export class ElapsedClock {
  readonly #monotonicNow: () => number;
  readonly #wallNow: () => number;
  /** Lead of the time of day over the monotonic clock that is accounted for, ms. */
  #knownLeadMs: number;
  /** Sum of the advances that only the time of day has shown, ms. */
  #extraMs = 0;

  /** Both functions return milliseconds; by default they read the clocks of the process. */
  constructor(monotonicNow = () => performance.now(), wallNow = () => Date.now()) {
    this.#monotonicNow = monotonicNow;
    this.#wallNow = wallNow;
    this.#knownLeadMs = wallNow() - monotonicNow();
  }

  /** Milliseconds since an arbitrary start; never decreases. */
  now(): number {
    const monotonicMs = this.#monotonicNow();
    const leadMs = this.#wallNow() - monotonicMs;
    if (leadMs > this.#knownLeadMs + TOLERANCE_MS) {
      this.#extraMs += leadMs - this.#knownLeadMs;
      this.#knownLeadMs = leadMs;
    } else if (leadMs < this.#knownLeadMs) {
      this.#knownLeadMs = leadMs;
    }
    return monotonicMs + this.#extraMs;
  }
}
