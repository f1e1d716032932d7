import type { AttemptOutcome } from "./AttemptOutcome.ts";

/** Properties of a request that decide whether a detector admits it to the target. */
export interface AdmissionRequest {
  /** The request can be retried if this attempt fails, so it can serve as a probe of the target. */
  readonly isRetryable: boolean;
  /** Requests are queued for capacity at the sidecar that sends it. */
  readonly isCongested: boolean;
  /** Highest failure probability at which no other target is better for the request; 0 if another one always is. */
  readonly acceptsRisk: number;
}

/** Estimates the health of the sidecar's co-located target from the outcomes of its requests. */
export interface HealthDetector {
  /** Probability that it fails a request sent now, 0 to 1. */
  readonly risk: number;
  /** Ratio of its response times to the typical ones of its service: 1 is typical, 2 is twice as long. */
  readonly pace: number;
  /** Requests that cannot be retried should go to other targets. */
  readonly isSuspect: boolean;
  /** All requests except probes should go to other targets. */
  readonly isEjected: boolean;
  /**
   * Time until a retryable request may be sent as the next probe, ms, while `probes` others are in
   * flight; undefined if the target is considered healthy and needs no probe.
   */
  probeInMs(probes: number): number | undefined;
  /** Whether a request may be sent to the target while `probes` probes are in flight. */
  admits(req: AdmissionRequest, probes: number): boolean;
  /**
   * Records the outcome of a request.
   *
   * @param ms its duration, ms
   * @param typicalMs typical duration of such requests at the service's targets, ms; 0 if unknown
   */
  recordOutcome(outcome: AttemptOutcome, ms: number, typicalMs: number): void;
  /** Records that a request in flight, started `ms` ago, has taken far longer than is typical. */
  recordOverdue(ms: number): void;
}
