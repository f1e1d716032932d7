import type { Check } from "./Check.ts";

/** After the last fault the fleet has so long to find back, ms: the soak's own bound, two thirds of the users'. */
const RECOVERY_MS = 8000;

/** Share of callers' requests that are served from then on, of a load that the fleet has room for. */
const SERVED_SHARE = 0.9;

/** After the last fault, requests are served again. */
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
