/** Outcome of a proposal. */
export type ProposalOutcome<T> =
  | { readonly kind: "committed"; readonly version: number }
  | { readonly kind: "answered"; readonly answer: T }
  | { readonly kind: "not-leader" }
  /** Not acknowledged by a quorum in time, or not stored; it may still be committed. */
  | { readonly kind: "unknown" };
