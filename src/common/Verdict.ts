import type { TargetId } from "./ids/TargetId.ts";

/**
 * What a caller may believe about a forwarded request once burdockpass has
 * answered. Every answer carries one, in the `x-burdockpass-verdict` header.
 *
 * - `done`: a target answered in full; `status` is its HTTP status.
 * - `not-run`: no target ran it. Only given when that is certain: refused
 *   before any byte was written, shed by our own admission, no target to
 *   send to, or a target's explicit not-run answer (503 with `x-not-run`).
 * - `in-progress`: an earlier request with the same idempotency key is still
 *   running; this one was not run, and a resend will get that one's answer.
 * - `may-have-run`: bytes reached a target but no whole answer came back
 *   (timeout, reset, truncated body). A caller must not assume either way.
 */
export type Verdict =
  | { readonly kind: "done"; readonly target: TargetId; readonly status: number }
  | {
      readonly kind: "not-run";
      readonly reason: string;
      readonly retryAfterS: number;
      /** HTTP status for the caller where 503 would mislead. */
      readonly status?: number;
    }
  | { readonly kind: "in-progress"; readonly retryAfterS: number }
  | {
      readonly kind: "may-have-run";
      readonly target: TargetId;
      readonly reason: string;
      readonly retryAfterS: number;
    };
