/** Control's answer to one order. */
export type ApplyOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  /** Another version than the one that the order builds on is in force. */
  | { readonly kind: "conflict"; readonly version: number; readonly message: string }
  | { readonly kind: "invalid"; readonly version: number; readonly message: string }
  /** Nothing was done; ask the leader, at `leaderApi` where it is known, or another replica. */
  | {
      readonly kind: "not-leader";
      readonly version: number;
      readonly message: string;
      readonly leaderApi?: string;
    }
  /** It may or may not be accepted: send it again with the same order id. */
  | { readonly kind: "unknown"; readonly version: number; readonly message: string };
