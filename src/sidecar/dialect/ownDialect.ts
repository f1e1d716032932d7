import { randomUUID } from "node:crypto";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import type { Dialect } from "./Dialect.ts";

/** How long the caller, or the sidecar, will wait for the answer: ms left, never a time of day. */
const REMAINING_HEADER = "x-burdockpass-remaining-ms";

/** Set by a target that refused a request without running it. */
const NOT_RUN_HEADER = "x-not-run";

/** The product's own headers: see docs/operating/requests.md. */
export const ownDialect: Dialect = {
  readCaller: (headers) => {
    const raw = headers[REMAINING_HEADER];
    const remainingMs = raw === undefined ? undefined : Number(raw);
    if (remainingMs !== undefined && !(remainingMs > 0)) {
      return `${REMAINING_HEADER} must be a number of milliseconds above 0`;
    }
    return { attempt: AttemptId(randomUUID()), remainingMs };
  },

  writeTarget: ({ attempt, remainingMs, echoHeader }) => ({
    [REMAINING_HEADER]: String(Math.max(1, Math.floor(remainingMs))),
    ...(echoHeader ? { [echoHeader]: attempt } : {}),
  }),

  readResponse: ({ attempt, echoHeader }, status, headers) => {
    const echoed = echoHeader && headers[echoHeader];
    if (echoed && echoed !== attempt) {
      return { kind: "foreign", reason: "answer to another request" };
    }
    if (status === 503 && headers[NOT_RUN_HEADER] === "1") {
      const asked = Number(headers["retry-after"]);
      const retryAfterMs = asked > 0 ? asked * 1000 : undefined;
      return { kind: "not-run", retryAfterMs, otherTarget: undefined };
    }
    return echoHeader && !echoed
      ? { kind: "foreign", reason: "answer without the id of its request" }
      : { kind: "own" };
  },

  // Whole seconds, as RFC 9110 has it.
  writeRetryAfter: (ms) => String(Math.max(1, Math.ceil(ms / 1000))),
};
