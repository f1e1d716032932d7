/** A target's complete response, stored to be replayed to a resend. */
interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64, as records are stored as JSON. */
  readonly body: string;
}

/**
 * A replica's record of a non-idempotent request, stored under its idempotency key.
 *
 * - `claimed`: an attempt may be running it, until its deadline
 * - `done`: it ran, and `answer` is the response
 * - `unknown`: it may have run; it must never be run again
 */
export type RunRecord = {
  /** The attempt that claimed the key; only this attempt may settle it. */
  readonly attempt: string;
  /** Id of the target that it was sent to; undefined in records of earlier versions. */
  readonly target?: string;
  /** Digest of method, path and body: one key must not be used for two requests. */
  readonly fingerprint: string;
  /** Deadline of the attempt on the record holder's monotonic clock, ms. */
  readonly deadlineAt: number;
} & (
  | { readonly state: "claimed" | "unknown" }
  | { readonly state: "done"; readonly answer: StoredResponse }
);
