import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A seeded pseudo-random number generator; the same seed gives the same sequence. */
export interface Rng {
  /** A uniformly distributed integer from `from` to `to`, both included. */
  int(from: number, to: number): number;
  /** A uniformly distributed number from `from` to `to`, in steps of a thousandth of the range. */
  between(from: number, to: number): number;
  /** A uniformly chosen item; throws on an empty list. */
  pick<T>(items: readonly T[]): T;
}

const STEPS = 1000;

/** Creates a generator from a seed. */
export function createRng(seed: number): Rng {
  const generator = xoroshiro128plus(seed);
  const int = (from: number, to: number) => uniformInt(generator, from, to);
  return {
    int,
    between: (from, to) => from + ((to - from) * int(0, STEPS)) / STEPS,
    pick: (items) => {
      const item = items[int(0, items.length - 1)];
      if (item === undefined) {
        throw new Error("cannot pick from an empty list");
      }
      return item;
    },
  };
}
