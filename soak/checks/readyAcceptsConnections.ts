import type { Check } from "./Check.ts";

/** Unanswered probes in a row of a ready process that count as a violation: 3 s at one probe every half second. */
const MISS_LIMIT = 6;

/** Checks that a process that reports itself as ready responds on new connections. */
export const readyAcceptsConnections: Check = {
  guarantee: "a process that reports itself as ready accepts new connections",
  isTimed: true,
  run: ({ readyLooks }) => {
    const ready = readyLooks.filter((s) => s.isReady);
    const missesByProcess = new Map<string, number>();
    const violations = [];
    for (const { via, at, isAnswered } of ready) {
      const misses = isAnswered ? 0 : (missesByProcess.get(via) ?? 0) + 1;
      missesByProcess.set(via, misses);
      if (misses === MISS_LIMIT) {
        violations.push({ at, what: `${via} reports itself as ready, but does not respond` });
      }
    }
    return { count: ready.length, violations };
  },
};
