import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws of one seeded generator; the same seed gives the same rng. */
export interface Rng {
  /** A whole number from `from` to `to`, both included. */
  int(from: number, to: number): number;
  /** A number from `from` to `to`, in thousandths of the way. */
  between(from: number, to: number): number;
  pick<T>(items: readonly T[]): T;
}

const STEPS = 1000;

export function createRng(seed: number): Rng {
  const generator = xoroshiro128plus(seed);
  const int = (from: number, to: number) => uniformInt(generator, from, to);
  return {
    int,
    between: (from, to) => from + ((to - from) * int(0, STEPS)) / STEPS,
    pick: (items) => {
      const item = items[int(0, items.length - 1)];
      if (item === undefined) {
        throw new Error("nothing to pick from");
      }
      return item;
    },
  };
}
