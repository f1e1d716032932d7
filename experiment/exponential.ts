/** A random time from an exponential distribution (memoryless) with a mean of `mean` ms. */
export function exponential(mean: number, random: () => number): number {
  return -Math.log(1 - random()) * mean;
}
