/** Why a slot was not granted. */
export enum RefusalReason {
  /** The wait would outlast the request. */
  Full = "full",
  /** The target is under suspicion; it takes the request if there is no other. */
  Suspect = "suspect",
  /** The target is leaving, or this sidecar is being stopped. */
  Leaving = "leaving",
  /** The target is not here (any more). */
  NoTarget = "no-target",
  /** The same attempt already has a slot here, or has run. */
  Duplicate = "duplicate",
}
