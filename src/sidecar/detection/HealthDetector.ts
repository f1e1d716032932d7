import type { AttemptOutcome } from "./AttemptOutcome.ts";

/** What a detector needs to know of a request to admit it. */
export interface Admissible {
  /** Another try is left if this one fails: it can tell whether the target is well. */
  readonly isExpendable: boolean;
  /** Requests wait in line for want of room where it comes from. */
  readonly isPressed: boolean;
  /** There is no better target for it, unless this one fails it with a higher chance than this; 0 where there is. */
  readonly acceptsRisk: number;
}

/** What is thought of the target beside this sidecar, from how its requests end. */
export interface HealthDetector {
  /** Chance that it fails what it is given now, 0 to 1. */
  readonly risk: number;
  /** How its answer times compare with those of its service: 1 is usual, 2 twice as long. */
  readonly pace: number;
  /** Requests that have no other try had better go elsewhere. */
  readonly isSuspect: boolean;
  /** All work had better go elsewhere, but for what tells whether it is well again. */
  readonly isEjected: boolean;
  /**
   * In how long an expendable request would tell something, ms, while `probes` others are at it;
   * undefined where the target is thought to be well.
   */
  probeInMs(probes: number): number | undefined;
  /** Whether the target may be given a request, while `probes` others are there to tell how it is. */
  admits(req: Admissible, probes: number): boolean;
  /**
   * Notes how a request ended.
   *
   * @param ms time it took
   * @param typicalMs what its kind usually takes at the service's targets; 0 when not known
   */
  note(outcome: AttemptOutcome, ms: number, typicalMs: number): void;
  /** Notes that a request under way, which began `ms` ago, has taken far longer than usual. */
  noteOverdue(ms: number): void;
}
