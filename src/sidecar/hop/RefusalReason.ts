/** Reason for which a slot request was refused. */
export enum RefusalReason {
  /** The wait for a slot would exceed the request's deadline, or the admission queue is full. */
  Full = "full",
  /** The wait for the rate limit that the target names would exceed the request's deadline, or is too long a queue. */
  Limited = "limited",
  /** The target is suspect; it accepts the request only if there is no better target. */
  Suspect = "suspect",
  /** The target is shutting down, or its sidecar is being stopped. */
  Leaving = "leaving",
  /** The target is not, or no longer, local to this sidecar. */
  NoTarget = "no-target",
  /** The same attempt already holds a slot at the target, or has already run. */
  Duplicate = "duplicate",
}
