import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";

/** Result of a request whose grant has expired, was revoked, or was issued by another incarnation of the sidecar. */
export const EXPIRED_GRANT: ForwardResult = {
  verdict: { kind: "not-run", reason: "the grant has expired", retryAfterMs: RETRY_AFTER_MS },
  outcome: AttemptOutcome.Cancelled,
};
