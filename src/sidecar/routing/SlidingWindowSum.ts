/** Sum of the weights added within a sliding time window. */
export class SlidingWindowSum {
  readonly #windowMs: number;
  #entries: { readonly at: number; readonly weight: number }[] = [];
  #sum = 0;

  /** @param windowMs length of the window, ms */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Adds `weight` at time `at`, ms; times must not decrease between calls. */
  add(weight: number, at: number): void {
    if (weight > 0) {
      this.#entries.push({ at, weight });
      this.#sum += weight;
    }
  }

  /** Returns the sum over the window that ends at `now`, ms. */
  valueAt(now: number): number {
    const cutoff = now - this.#windowMs;
    const kept = this.#entries.findIndex((p) => p.at > cutoff);
    const expired = this.#entries.splice(0, kept < 0 ? this.#entries.length : kept);
    this.#sum =
      this.#entries.length === 0 ? 0 : expired.reduce((sum, p) => sum - p.weight, this.#sum);
    return this.#sum;
  }
}
