import { CallKind } from "../SoakPlan.ts";
import type { Check } from "./Check.ts";

/** Kinds of requests that must not be repeated. */
const NON_REPEATABLE = new Set([CallKind.Booking, CallKind.KeyedBooking, CallKind.Upload]);

/** Checks that a request that must not be repeated runs at most once, and at most once for each idempotency key. */
export const runsAtMostOnce: Check = {
  guarantee: "requests that must not be repeated run at most once",
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
    const repeated = [...runs].filter(([, list]) => list.length > 1);
    return {
      count: runs.size,
      violations: repeated.map(([key, list]) => ({
        at: list.at(-1)?.at ?? 0,
        what: `${key} ran ${list.length} times: ${list.map((r) => `${r.target} as ${r.tag}`).join(", ")}`,
      })),
    };
  },
};
