import type { Check } from "./Check.ts";

/** Checks that a request with the verdict "not-run" did not run, and does not run later. */
export const notRunNeverRan: Check = {
  guarantee: 'a request with the verdict "not-run" never runs',
  isTimed: false,
  run: ({ calls, targets }) => {
    const ran = new Set(targets.filter((t) => t.event === "ran").map((t) => t.tag));
    const refused = calls.filter((c) => c.verdict === "not-run");
    // The verdict of a refused resend does not apply to the first request.
    const wrong = refused.filter((c) => ran.has(c.tag));
    return {
      count: refused.length,
      violations: wrong.map((c) => ({
        at: c.endedAt,
        what: `${c.tag} via ${c.via} was refused with ${c.status} as not run, but ran`,
      })),
    };
  },
};
