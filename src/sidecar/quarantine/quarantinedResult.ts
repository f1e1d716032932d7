import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { Assessment } from "./Assessment.ts";

/** Status of the refusal. It is set, so that no sidecar sends the request to another target. */
const SERVICE_UNAVAILABLE = 503;

/** Result of a request that is refused because it is blocked: it has not run, and need not come again soon. */
export function quarantinedResult({ crashes }: Assessment, remainingMs: number): ForwardResult {
  return {
    verdict: {
      kind: "not-run",
      reason: `quarantined: equal requests have ended ${crashes} targets`,
      retryAfterMs: remainingMs,
      status: SERVICE_UNAVAILABLE,
    },
    outcome: AttemptOutcome.Cancelled,
  };
}
