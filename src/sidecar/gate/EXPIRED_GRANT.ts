import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";

/** What becomes of a request whose grant has run out, was taken back, or is of another life of the process. */
export const EXPIRED_GRANT: ForwardResult = {
  verdict: { kind: "not-run", reason: "the grant has expired", retryAfterMs: RETRY_AFTER_MS },
  outcome: AttemptOutcome.Cancelled,
};
