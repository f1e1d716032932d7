/** The state that a target reported in its last announcement. */
export enum TargetState {
  /** Accepts new requests. */
  Ready = "ready",
  /** Shutting down: finishes requests in flight, accepts no new ones. */
  Draining = "draining",
  /** Starting: accepts no requests yet. */
  Cold = "cold",
}
