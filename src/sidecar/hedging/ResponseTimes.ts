/** Number of most recent samples. 20 of them lie above the quantile 0.92, so a few outliers do not move it much. */
const WINDOW = 256;

/** There is no quantile below this number of samples: the 95th percentile of 40 is the second longest. */
const MIN_SAMPLES = 40;

/** The samples are sorted again once every this many. */
const REFRESH_EVERY = 8;

/** Distribution of the recent response times of one route, ms, over all its targets. */
export class ResponseTimes {
  readonly #samples: number[] = [];
  #next = 0;
  #added = 0;
  #sorted: readonly number[] = [];

  /**
   * Adds the duration of a run, ms. A run that was cancelled in favour of its hedge is added with the delay after which
   * the hedge was sent: it lasted longer, which is all that the quantile needs. Left out, the quantile would sink
   * with each hedge; counted until its cancellation, it would grow without end while many runs are stuck.
   */
  add(ms: number): void {
    this.#samples[this.#next] = ms;
    this.#next = (this.#next + 1) % WINDOW;
    this.#added += 1;
    if (this.#samples.length >= MIN_SAMPLES && this.#added % REFRESH_EVERY === 0) {
      this.#sorted = [...this.#samples].sort((a, b) => a - b);
    }
  }

  /** The quantile `q` (0 to 1) of the response times, ms; undefined until there are enough samples. */
  quantile(q: number): number | undefined {
    return this.#sorted[Math.min(this.#sorted.length - 1, Math.floor(this.#sorted.length * q))];
  }

  /** Mean time for which runs that lasted longer than `ms` went on, ms; undefined if none did. */
  meanRemainingMs(ms: number): number | undefined {
    const longer = this.#sorted.filter((s) => s > ms);
    return longer.length === 0
      ? undefined
      : longer.reduce((sum, s) => sum + s, 0) / longer.length - ms;
  }
}
