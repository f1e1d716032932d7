import type { TargetId } from "./ids/TargetId.ts";

/**
 * What a caller may believe about a forwarded request once burdockpass has
 * answered. Every answer carries one, in the `x-burdockpass-verdict` header.
 *
 * - `done`: a target answered in full; `status` is its HTTP status.
 * - `not-run`: no target ran it, and none will. Only given when that is certain:
 *   refused before any byte was written to a target, no target to send to, or a
 *   target's explicit word that it did not run it.
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
      /** When it is worth coming back, ms. */
      readonly retryAfterMs: number;
      /** HTTP status for the caller where 503 would mislead. */
      readonly status?: number;
    }
  | { readonly kind: "in-progress"; readonly retryAfterMs: number }
  | {
      readonly kind: "may-have-run";
      readonly target: TargetId;
      readonly reason: string;
      /** The time for it ran out; otherwise it was cut off on the way. */
      readonly timedOut: boolean;
      readonly retryAfterMs: number;
    };
