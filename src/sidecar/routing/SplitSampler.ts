/** The golden ratio's fraction: multiples of it spread over [0, 1) more evenly than random draws. */
const STEP = 0.6180339887498949;

/**
 * Draws for weighted splits, in [0, 1), one sequence a route: over few requests each
 * part gets nearly its share. Each sidecar starts each sequence at a random point, so
 * that many sidecars with few requests each do not all begin with the same part.
 */
export class SplitSampler {
  readonly #random: () => number;
  readonly #at = new Map<string, number>();

  /** `random` gives [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** The next draw for `route`. */
  next(route: string): number {
    const at = ((this.#at.get(route) ?? this.#random()) + STEP) % 1;
    this.#at.set(route, at);
    return at;
  }
}
