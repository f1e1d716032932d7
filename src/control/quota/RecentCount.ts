/** Length of the intervals that are counted, ms. */
const INTERVAL_MS = 60_000;

/** A count of about the last minute, in constant space: this interval's, and the part of the last one still in it. */
export class RecentCount {
  #interval = 0;
  #current = 0;
  #previous = 0;

  /** Adds `n` at time `now`, ms; times must not decrease between calls. */
  add(n: number, now: number): void {
    this.#advance(now);
    this.#current += n;
  }

  valueAt(now: number): number {
    this.#advance(now);
    const passed = now / INTERVAL_MS - this.#interval;
    return Math.round(this.#current + this.#previous * (1 - passed));
  }

  #advance(now: number): void {
    const interval = Math.floor(now / INTERVAL_MS);
    if (interval !== this.#interval) {
      this.#previous = interval === this.#interval + 1 ? this.#current : 0;
      this.#current = 0;
      this.#interval = interval;
    }
  }
}
