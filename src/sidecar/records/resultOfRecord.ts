import { TargetId } from "../../common/ids/TargetId.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import { RETRY_AFTER_MS } from "../forwarding/RETRY_AFTER_MS.ts";
import type { RunRecord } from "./RunRecord.ts";

/** Grace period after an attempt's deadline, ms. A claim that is not settled by then has an unknown outcome. */
const CLAIM_GRACE_MS = 500;

/** Status for a key that was used for another request. */
const UNPROCESSABLE = 422;

/** Result for a resend whose key is held by the record of an earlier attempt; `now` is the monotonic clock, ms. */
export function resultOfRecord(
  held: RunRecord,
  ownFingerprint: string,
  now: number,
): ForwardResult {
  const target = TargetId(held.target ?? "");
  if (held.fingerprint !== ownFingerprint) {
    const reason = "idempotency key was used for another request";
    return {
      verdict: { kind: "not-run", reason, retryAfterMs: RETRY_AFTER_MS, status: UNPROCESSABLE },
      outcome: AttemptOutcome.Cancelled,
    };
  }
  if (held.state === "done") {
    return {
      verdict: { kind: "done", target, status: held.answer.status },
      outcome: AttemptOutcome.Cancelled,
      headers: { ...held.answer.headers, "idempotency-replayed": "true" },
      body: Buffer.from(held.answer.body, "base64"),
    };
  }
  if (held.state === "claimed" && now < held.deadlineAt + CLAIM_GRACE_MS) {
    return {
      verdict: { kind: "in-progress", retryAfterMs: RETRY_AFTER_MS },
      outcome: AttemptOutcome.Cancelled,
    };
  }
  return {
    verdict: {
      kind: "may-have-run",
      target,
      reason: "an earlier attempt with this key has no known outcome",
      timedOut: true,
      retryAfterMs: RETRY_AFTER_MS,
    },
    outcome: AttemptOutcome.Cancelled,
  };
}
