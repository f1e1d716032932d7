import type { Check } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** Checks that a response which has begun is not cut off because its caller reads slowly. */
export const slowReadersAreServed: Check = {
  guarantee: "a caller that reads slowly gets its whole response",
  isTimed: false,
  run: ({ slowReads, disturbances, stops }) => {
    const begun = slowReads.filter((r) => r.status === 200);
    // The target whose response was cut off is not known, so any disturbance or stop may have been the cause.
    const isExplained = (from: number, until: number) =>
      disturbances.some((d) => isDisturbed([d], d.on, from, until)) ||
      stops.some((s) => s.at < until && from < s.endedAt);
    return {
      count: begun.length,
      violations: begun
        .filter((r) => !r.isWhole && !isExplained(r.from, r.until))
        .map(({ via, from, until }) => ({
          at: until,
          what: `a response read slowly through ${via} was cut off after ${Math.round(until - from)} ms`,
        })),
    };
  },
};
