/** What holds memory of a sidecar for callers, targets and other sidecars; label values of the metric. */
export enum MemoryHolder {
  /** Callers' request bodies, buffered so that they can be sent to another target. */
  Requests = "requests",
  /** Request bodies that the local target has not read yet, or that are kept until its run ends. */
  SlowTargets = "slow-targets",
  /** Responses, or the starts of large ones, that are being received. */
  Receiving = "receiving",
  /** Responses that callers have not read yet. */
  SlowCallers = "slow-callers",
  /** Responses that other sidecars have not read yet. */
  SlowSidecars = "slow-sidecars",
  /** Responses kept for senders that lose their connections. */
  Retained = "retained",
}
