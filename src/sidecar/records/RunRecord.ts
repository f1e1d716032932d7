/** A target's whole answer, as it is kept for a resend. */
interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64, so it fits in JSON. */
  readonly body: string;
}

/**
 * What a replica knows of one non-idempotent request, by its idempotency key.
 *
 * - `claimed`: an attempt may be running it now, until its deadline
 * - `done`: it ran, and this was the answer
 * - `unknown`: it may have run; it must never be run again
 */
export type RunRecord = {
  /** Names the attempt that claimed it; only that attempt may settle it. */
  readonly attempt: string;
  /** Digest of method, path and body: one key must not stand for two requests. */
  readonly fingerprint: string;
  /** When the attempt has ended, by the holder's steady clock, ms. */
  readonly deadlineAt: number;
} & (
  | { readonly state: "claimed" | "unknown" }
  | { readonly state: "done"; readonly answer: StoredAnswer }
);
