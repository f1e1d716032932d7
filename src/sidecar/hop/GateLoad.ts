/** How busy a target is, and what is thought of it, as the sidecar beside it knows. */
export interface GateLoad {
  /** Requests that it can work on at once. */
  readonly slots: number;
  /** Slots in use or granted. */
  readonly busy: number;
  /** Asks waiting for a slot. */
  readonly queued: number;
  /** How long a slot is in use for one request, on average, ms. */
  readonly serviceMs: number;
  /** How its answers' times compare with those of its service: 1 is usual, 2 twice as long. */
  readonly pace: number;
  /** Chance that it fails what it is given now; see HealthDetector. */
  readonly risk: number;
  /** Under suspicion: not for requests that have no other try, while there is another target. */
  readonly suspect: boolean;
  /** All work had better go elsewhere. */
  readonly ejected: boolean;
  /** In how long a request that has another try left would tell whether it is well, ms; left out where that is known. */
  readonly probeInMs?: number;
  /** In how long the sidecar beside it ends, ms; left out where that is not being stopped. */
  readonly endsInMs?: number;
}
