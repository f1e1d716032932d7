/** Fractional part of the golden ratio: its multiples modulo 1 cover [0, 1) more evenly than random samples. */
const GOLDEN_RATIO_STEP = 0.6180339887498949;

/**
 * Samples in [0, 1) for weighted traffic splits, as one low-discrepancy sequence per route:
 * even over few requests, each entry of a split gets nearly its share. Each sidecar starts
 * each sequence at a random point, so that many sidecars with few requests each do not all
 * begin with the same entry.
 */
export class SplitSampler {
  readonly #random: () => number;
  readonly #positions = new Map<string, number>();

  /** @param random returns a number in [0, 1) */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Returns the next sample for `route`. */
  next(route: string): number {
    const position = ((this.#positions.get(route) ?? this.#random()) + GOLDEN_RATIO_STEP) % 1;
    this.#positions.set(route, position);
    return position;
  }
}
