import type { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";

/** The result of a run that began at `target` and whose outcome its sidecar does not know, or no longer knows. */
export function unknownOutcome(target: TargetId): ForwardResult {
  return {
    verdict: {
      kind: "may-have-run",
      target,
      reason: "the sidecar beside the target does not know how the run ended",
      timedOut: false,
      retryAfterMs: RETRY_AFTER_MS,
    },
    outcome: AttemptOutcome.NoResponse,
  };
}
