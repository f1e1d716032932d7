/** Load and health of a target, as reported by its co-located sidecar. */
export interface GateLoad {
  /** Number of requests that the target can process concurrently. */
  readonly slots: number;
  /** Number of slots in use or granted. */
  readonly busy: number;
  /** Number of slot requests waiting in the admission queue. */
  readonly queued: number;
  /** Mean time for which one request uses a slot, ms. */
  readonly serviceMs: number;
  /** Response time of the target relative to its service: 1 is normal, 2 is twice as long. */
  readonly pace: number;
  /** Probability that the target fails a request that it is sent now, 0 to 1; see HealthDetector. */
  readonly risk: number;
  /** The target is suspect: requests without a remaining retry avoid it while the service has another target. */
  readonly suspect: boolean;
  /** The target is ejected: all requests should go to other targets. */
  readonly ejected: boolean;
  /** Time until a retryable request can probe the target's health, ms; undefined if its health is known. */
  readonly probeInMs?: number;
  /** The target has had no new work for long although its service is failing requests. */
  readonly wantsWork: boolean;
  /** Time until the target's sidecar exits, ms; undefined unless the sidecar is being stopped. */
  readonly endsInMs?: number;
  /** Limit that the target names on the rate of its requests, requests a second; undefined if it names none. */
  readonly limitPerS?: number;
  /** Time until that limit allows a further request, behind those that are queued, ms; undefined without a limit. */
  readonly limitWaitMs?: number;
}
