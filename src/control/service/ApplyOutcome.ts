/** Control's answer to one apply. */
export type ApplyOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number; readonly message: string }
  | { readonly kind: "invalid"; readonly version: number; readonly message: string }
  /** Nothing was done; ask the leader, or another replica. */
  | { readonly kind: "not-leader"; readonly version: number; readonly message: string }
  /** It may or may not be accepted: send it again with the same request id. */
  | { readonly kind: "unknown"; readonly version: number; readonly message: string };
