/** How many of the latest latencies the median is taken over. */
const WINDOW = 128;

/** Fewer samples than this give no baseline: a median of three proves little. */
const MIN_SAMPLES = 16;

/** The median is sorted out afresh once in this many samples. */
const REFRESH_EVERY = 8;

/**
 * The usual latency of one kind of request at one service, over all its
 * targets: a rolling median, which stays put until half the samples are slow,
 * so one gray target cannot drag its own yardstick along.
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

  /** Adds the latency of one whole answer, ms. */
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
