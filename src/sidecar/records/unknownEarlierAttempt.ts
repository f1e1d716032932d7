import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";

/** Result for a request that is not run, when an earlier attempt with its idempotency key may have been. */
export function unknownEarlierAttempt(reason: string): ForwardResult {
  return {
    verdict: {
      kind: "may-have-run",
      target: TargetId(""),
      reason,
      timedOut: false,
      retryAfterMs: RETRY_AFTER_MS,
    },
    outcome: AttemptOutcome.Cancelled,
  };
}
