import { CallKind } from "../SoakPlan.ts";
import type { Check } from "./Check.ts";

const NON_REPEATABLE = new Set([CallKind.Booking, CallKind.KeyedBooking, CallKind.Upload]);

/** Work that must not repeat runs at most once for each request, and at most once under a key. */
export const runsAtMostOnce: Check = {
  guarantee: "work that must not repeat runs at most once",
  isTimed: false,
  run: ({ calls, targets }) => {
    const keyOf = new Map(
      calls.filter((c) => NON_REPEATABLE.has(c.kind)).map((c) => [c.tag, c.resendOf ?? c.tag]),
    );
    const runs = new Map<string, typeof targets>();
    for (const record of targets) {
      const key = keyOf.get(record.tag);
      if (record.event === "ran" && key !== undefined) {
        runs.set(key, [...(runs.get(key) ?? []), record]);
      }
    }
    const twice = [...runs].filter(([, list]) => list.length > 1);
    return {
      count: runs.size,
      violations: twice.map(([key, list]) => ({
        at: list.at(-1)?.at ?? 0,
        what: `${key} ran ${list.length} times: ${list.map((r) => `${r.target} as ${r.tag}`).join(", ")}`,
      })),
    };
  },
};
