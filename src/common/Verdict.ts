import type { TargetId } from "./ids/TargetId.ts";

/**
 * Outcome of a forwarded request: whether a target ran it, as far as burdockpass
 * knows. Every response to a caller carries it in the `x-burdockpass-verdict` header.
 *
 * - `done`: a target sent a complete response; `status` is its HTTP status.
 * - `not-run`: no target ran the request, and none will. Only given when that is
 *   certain: it was refused before any byte was written to a target, there was no
 *   target to send it to, or a target stated explicitly that it did not run it.
 * - `in-progress`: an earlier request with the same idempotency key is still
 *   running. This one was not run; a retry will get the earlier one's response.
 * - `may-have-run`: bytes were sent to a target but no complete response came back
 *   (timeout, reset, truncated body). The caller must not assume either outcome.
 */
export type Verdict =
  | { readonly kind: "done"; readonly target: TargetId; readonly status: number }
  | {
      readonly kind: "not-run";
      readonly reason: string;
      /** Delay after which a retry is worthwhile, ms. */
      readonly retryAfterMs: number;
      /** HTTP status to send to the caller where 503 would be misleading. */
      readonly status?: number;
    }
  | { readonly kind: "in-progress"; readonly retryAfterMs: number }
  | {
      readonly kind: "may-have-run";
      readonly target: TargetId;
      readonly reason: string;
      /** True when the request's deadline passed; false when the connection broke or the response was truncated. */
      readonly timedOut: boolean;
      readonly retryAfterMs: number;
    };
