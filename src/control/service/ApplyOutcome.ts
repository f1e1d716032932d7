/** Outcome of a change request. */
export type ApplyOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  /** The current version is not the one that the change request is based on. */
  | { readonly kind: "conflict"; readonly version: number; readonly message: string }
  | { readonly kind: "invalid"; readonly version: number; readonly message: string }
  /** Nothing was changed; retry at the leader, at `leaderApi` if known, or at another replica. */
  | {
      readonly kind: "not-leader";
      readonly version: number;
      readonly message: string;
      readonly leaderApi?: string;
    }
  /** The change may or may not have been accepted: resend it with the same order id. */
  | { readonly kind: "unknown"; readonly version: number; readonly message: string };
