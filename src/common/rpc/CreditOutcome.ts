/** Reply of a control replica to a request for a credit: for the run of one request of a workspace. */
export type CreditOutcome =
  | { readonly kind: "granted" }
  /** This replica's part of the quota is used up. */
  | { readonly kind: "exhausted"; readonly retryAfterMs: number }
  /** This replica does not know the workspace, or must not grant a part of its quota. */
  | { readonly kind: "unavailable" };
