import type { Check } from "./Check.ts";

/** Each caller gets its own whole answer: one that looks complete is, and is that request's. */
export const responsesMatchRequests: Check = {
  guarantee: "every caller gets its own whole answer",
  isTimed: false,
  run: ({ calls }) => {
    const answered = calls.filter((c) => c.status === 200);
    // A resend gets the answer of the try that ran: its own, or an earlier one's under the key.
    const rootOf = (tag: string | undefined) => tag?.split(".")[0];
    const wrong = answered.filter((c) => !c.isWhole || rootOf(c.bodyTag) !== rootOf(c.tag));
    return {
      count: answered.length,
      violations: wrong.map((c) => ({
        at: c.endedAt,
        what: `${c.tag} via ${c.via} got the answer of ${c.bodyTag ?? "nobody"}${c.isWhole ? "" : ", not whole"}`,
      })),
    };
  },
};
