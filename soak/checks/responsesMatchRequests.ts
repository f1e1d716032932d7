import type { Check } from "./Check.ts";

/** Checks that each response with status 200 is complete and belongs to its request. */
export const responsesMatchRequests: Check = {
  guarantee: "every caller gets its own complete response",
  isTimed: false,
  run: ({ calls }) => {
    const served = calls.filter((c) => c.status === 200);
    // A resend gets the response of the attempt that ran: its own, or that of an earlier one with the same idempotency key.
    const rootOf = (tag: string | undefined) => tag?.split(".")[0];
    const wrong = served.filter((c) => !c.isWhole || rootOf(c.bodyTag) !== rootOf(c.tag));
    return {
      count: served.length,
      violations: wrong.map((c) => ({
        at: c.endedAt,
        what: `${c.tag} via ${c.via} got the response of ${c.bodyTag ?? "no request"}${c.isWhole ? "" : ", incomplete"}`,
      })),
    };
  },
};
