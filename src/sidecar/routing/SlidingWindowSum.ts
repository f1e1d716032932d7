/** A sum over a sliding window of time. */
export class SlidingWindowSum {
  readonly #windowMs: number;
  #parts: { readonly at: number; readonly weight: number }[] = [];
  #sum = 0;

  /** @param windowMs length of the window, ms */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Adds to it; times must not go back. */
  add(weight: number, at: number): void {
    if (weight > 0) {
      this.#parts.push({ at, weight });
      this.#sum += weight;
    }
  }

  /** What was added within the window that ends at `now`. */
  valueAt(now: number): number {
    const cutoff = now - this.#windowMs;
    const kept = this.#parts.findIndex((p) => p.at > cutoff);
    const old = this.#parts.splice(0, kept < 0 ? this.#parts.length : kept);
    this.#sum = this.#parts.length === 0 ? 0 : old.reduce((sum, p) => sum - p.weight, this.#sum);
    return this.#sum;
  }
}
