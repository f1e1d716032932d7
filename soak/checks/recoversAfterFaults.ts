import type { Check } from "./Check.ts";

/** Time that the fleet has to recover after the last fault, ms: the soak's own bound, two thirds of the users' bound. */
const RECOVERY_MS = 8000;

/** Minimum share of callers' requests that are served from then on; the load is within the fleet's capacity. */
const SERVED_SHARE = 0.9;

/** Checks that requests are served again after the last fault. */
export const recoversAfterFaults: Check = {
  guarantee: "after the last fault nine in ten are served within 8 s",
  isTimed: true,
  run: ({ calls, faultsEndAt }) => {
    const after = calls.filter(
      (c) => c.sentAt >= faultsEndAt + RECOVERY_MS && c.resendOf === undefined,
    );
    const served = after.filter((c) => c.status === 200).length;
    const isEnough = served >= SERVED_SHARE * after.length;
    const what = `${served} of ${after.length} requests served from 8 s after the last fault on`;
    return {
      count: after.length,
      violations: isEnough ? [] : [{ at: faultsEndAt + RECOVERY_MS, what }],
    };
  },
};
