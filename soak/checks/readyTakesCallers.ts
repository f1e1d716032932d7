import type { Check } from "./Check.ts";

/** So many looks in a row at a process that says that it is ready may go unanswered: half a second apart, 3 s. */
const IN_A_ROW = 6;

/** A process that says that it is ready answers new connections. */
export const readyTakesCallers: Check = {
  promise: "a process that says that it is ready takes new connections",
  isTimed: true,
  run: ({ readyLooks }) => {
    const ready = readyLooks.filter((l) => l.isReady);
    const missed = new Map<string, number>();
    const findings = [];
    for (const { via, at, isAnswered } of ready) {
      const inARow = isAnswered ? 0 : (missed.get(via) ?? 0) + 1;
      missed.set(via, inARow);
      if (inARow === IN_A_ROW) {
        findings.push({ at, what: `${via} says that it is ready, and answers nobody` });
      }
    }
    return { count: ready.length, findings };
  },
};
