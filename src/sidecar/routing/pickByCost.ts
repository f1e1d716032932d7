/**
 * Picks the cheaper of two random choices (Mitzenmacher, "The Power of Two
 * Choices in Randomized Load Balancing", 2001): nearly as even as choosing the
 * cheapest of all, without all sidecars choosing the same one at the same time.
 *
 * @param random returns a number in [0, 1); tests pass a seeded generator
 * @returns undefined for an empty list
 */
export function pickByCost<T>(
  candidates: readonly T[],
  costOf: (candidate: T) => number,
  random: () => number,
): T | undefined {
  const a = candidates[Math.floor(random() * candidates.length)];
  const b = candidates[Math.floor(random() * candidates.length)];
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  return costOf(b) < costOf(a) ? b : a;
}
