import { SOAK_WORKSPACES } from "../SOAK_WORKSPACES.ts";
import type { Check } from "./Check.ts";

/** The users' bound: in any 5 s, a tenth more than rate and burst allow, and 20 requests. */
const WINDOW_MS = 5000;
const OVERSHOOT = 0.1;
const SLACK = 20;

/** Checks that a workspace gets no more than its quota over the whole fleet, whatever restarts. */
export const quotaIsKept: Check = {
  guarantee: "a workspace gets no more requests than its quota",
  isTimed: false,
  run: ({ accounts, targets }) => {
    const arrivedAt = new Map(
      targets.filter((t) => t.event === "ran").map((t) => [t.tag, t.at] as const),
    );
    const ran = accounts.flatMap(({ change, tag, sentAt }) => {
      const at = arrivedAt.get(tag);
      return change === 0 && at !== undefined ? [{ sentAt, at }] : [];
    });
    const { ratePerS, burst } = SOAK_WORKSPACES.hotQuota;
    const allowed = (ratePerS * (WINDOW_MS / 1000) + burst) * (1 + OVERSHOOT) + SLACK;
    const violations = ran.flatMap(({ sentAt: from }) => {
      const count = ran.filter((r) => from <= r.sentAt && r.at < from + WINDOW_MS).length;
      return count > allowed
        ? [{ at: from, what: `${count} requests in 5 s, allowed ${allowed}` }]
        : [];
    });
    return { count: ran.length, violations };
  },
};
