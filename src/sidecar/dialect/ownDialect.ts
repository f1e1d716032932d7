import { randomUUID } from "node:crypto";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { readTargetSignals } from "../signals/readTargetSignals.ts";
import type { Dialect } from "./Dialect.ts";

/** Time that the caller, or the sidecar, will wait for the response: a duration in ms, never a time of day. */
const REMAINING_HEADER = "x-burdockpass-remaining-ms";

/** Set to 1 by a target that rejected a request without running it. */
const NOT_RUN_HEADER = "x-not-run";

/** Limit of a target on the rate of requests from all sidecars together, requests a second. */
const LIMIT_HEADER = "x-burdockpass-limit";

/** Set to 1 by a target that is leaving. */
const LEAVING_HEADER = "x-burdockpass-leaving";

/** Name of the workspace that a request belongs to, for its target. */
const WORKSPACE_HEADER = "x-burdockpass-workspace";

/** The dialect of this project's own headers, which docs/operating/requests.md describes. */
export const ownDialect: Dialect = {
  workspaceHeader: WORKSPACE_HEADER,

  readCaller: (headers) => {
    const value = headers[REMAINING_HEADER];
    const remainingMs = value === undefined ? undefined : Number(value);
    if (remainingMs !== undefined && !(remainingMs > 0)) {
      return `${REMAINING_HEADER} must be a number of milliseconds above 0`;
    }
    return { attempt: AttemptId(randomUUID()), remainingMs };
  },

  writeTarget: ({ attempt, remainingMs, echoHeader, workspace }) => ({
    [REMAINING_HEADER]: String(Math.max(1, Math.floor(remainingMs))),
    ...(echoHeader ? { [echoHeader]: attempt } : {}),
    ...(workspace === undefined ? {} : { [WORKSPACE_HEADER]: workspace }),
  }),

  readResponse: ({ attempt, echoHeader }, status, headers) => {
    const echoedId = echoHeader && headers[echoHeader];
    if (echoedId && echoedId !== attempt) {
      return { kind: "foreign", reason: "answer to another request" };
    }
    if (status === 503 && headers[NOT_RUN_HEADER] === "1") {
      const retryAfterS = Number(headers["retry-after"]);
      const retryAfterMs = retryAfterS > 0 ? retryAfterS * 1000 : undefined;
      return { kind: "not-run", retryAfterMs, otherTarget: undefined };
    }
    return echoHeader && !echoedId
      ? { kind: "foreign", reason: "answer without the id of its request" }
      : { kind: "own" };
  },

  readSignals: (_status, headers) =>
    readTargetSignals(headers, { limit: LIMIT_HEADER, leaving: LEAVING_HEADER }),

  // Whole seconds, as RFC 9110 requires.
  writeRetryAfter: (ms) => String(Math.max(1, Math.ceil(ms / 1000))),
};
