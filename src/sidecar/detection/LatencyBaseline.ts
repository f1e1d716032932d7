/** Number of most recent samples that the median is computed over. */
const WINDOW = 128;

/** There is no baseline below this number of samples, since a median of three varies too much. */
const MIN_SAMPLES = 16;

/** From this number of samples on, the slowest of them bounds the median. */
const MIN_BOUND_SAMPLES = 3;

/** The median is recomputed once every this many samples. */
const REFRESH_EVERY = 8;

/**
 * The typical latency of one kind of request at one service, ms, over all its
 * targets. It is a rolling median, which hardly moves until half the samples are
 * slow, so one gray target cannot shift the baseline that it is compared with.
 */
export class LatencyBaseline {
  readonly #samples: number[] = [];
  #next = 0;
  #added = 0;
  #median: number | undefined;

  /** Median latency, ms; undefined until there are enough samples. */
  get median(): number | undefined {
    return this.#median;
  }

  /** The slowest of a few first samples, as an upper bound of the median, ms; undefined without them. */
  get bound(): number | undefined {
    return this.#samples.length >= MIN_BOUND_SAMPLES ? Math.max(...this.#samples) : undefined;
  }

  /** Adds the latency of one complete response, ms. */
  add(ms: number): void {
    this.#samples[this.#next] = ms;
    this.#next = (this.#next + 1) % WINDOW;
    this.#added += 1;
    if (this.#samples.length >= MIN_SAMPLES && this.#added % REFRESH_EVERY === 0) {
      const sorted = [...this.#samples].sort((a, b) => a - b);
      this.#median = sorted[Math.floor(sorted.length / 2)];
    }
  }
}
