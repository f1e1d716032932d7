import type { Check } from "./Check.ts";

/** A request that its caller was told has not run did not run, and does not later. */
export const notRunNeverRan: Check = {
  guarantee: '"not run" is true',
  isTimed: false,
  run: ({ calls, targets }) => {
    const ran = new Set(targets.filter((t) => t.event === "ran").map((t) => t.tag));
    const refused = calls.filter((c) => c.verdict === "not-run");
    // A resend that is refused says nothing of the request that came first.
    const wrong = refused.filter((c) => ran.has(c.tag));
    return {
      count: refused.length,
      violations: wrong.map((c) => ({
        at: c.endedAt,
        what: `${c.tag} via ${c.via} was refused with ${c.status} as not run, and ran`,
      })),
    };
  },
};
