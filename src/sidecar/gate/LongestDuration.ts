/** Number of most recent durations that the longest is taken from. */
const WINDOW = 256;

/**
 * The upper end is taken as the longest of `n` durations times 1 + MARGIN / n: the fewer have been seen, the further the
 * longest possible one may lie above them.
 */
const MARGIN = 64;

/** Estimates the upper end of a duration from its recent values. */
export class LongestDuration {
  readonly #recent: number[] = [];
  #next = 0;

  /** Adds a duration, ms. */
  add(ms: number): void {
    this.#recent[this.#next] = ms;
    this.#next = (this.#next + 1) % WINDOW;
  }

  /**
   * Duration that further ones are not expected to exceed, ms.
   *
   * @param assumedMs what is assumed without any duration, and in place of a greater margin after a few, ms
   */
  upperMs(assumedMs: number): number {
    const { length } = this.#recent;
    if (length === 0) {
      return assumedMs;
    }
    const longestMs = Math.max(...this.#recent);
    const cautiousMs = longestMs * (1 + MARGIN / length);
    return Math.max(longestMs * (1 + MARGIN / WINDOW), Math.min(cautiousMs, assumedMs));
  }
}
