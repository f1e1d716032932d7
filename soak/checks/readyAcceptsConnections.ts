import type { Check } from "./Check.ts";

/** So many looks in a row at a process that says that it is ready may go unanswered: half a second apart, 3 s. */
const MAX_MISSES = 6;

/** A process that says that it is ready answers new connections. */
export const readyAcceptsConnections: Check = {
  guarantee: "a process that says that it is ready takes new connections",
  isTimed: true,
  run: ({ readyLooks }) => {
    const ready = readyLooks.filter((l) => l.isReady);
    const missed = new Map<string, number>();
    const violations = [];
    for (const { via, at, isAnswered } of ready) {
      const inARow = isAnswered ? 0 : (missed.get(via) ?? 0) + 1;
      missed.set(via, inARow);
      if (inARow === MAX_MISSES) {
        violations.push({ at, what: `${via} says that it is ready, and answers nobody` });
      }
    }
    return { count: ready.length, violations };
  },
};
