import type { AttemptOutcome } from "./AttemptOutcome.ts";

/** What a judge needs to know of a request to admit it. */
export interface Admissible {
  readonly idempotent: boolean;
  /** There is no better target for it. */
  readonly insist: boolean;
}

/** What is thought of the target beside this sidecar, from how its requests end. */
export interface Judge {
  /** Evidence that the target fails what it is given, nats. */
  readonly suspicion: number;
  /** How its answer times compare with those of its service: 1 is usual, 2 twice as long. */
  readonly pace: number;
  /** Work that must not repeat had better go elsewhere. */
  readonly isSuspect: boolean;
  /** All work had better go elsewhere, but for what tells whether it is well again. */
  readonly isEjected: boolean;
  /** Whether the target may be given a request, while `underWay` others are at it. */
  admits(req: Admissible, underWay: number): boolean;
  /**
   * Notes how a request ended.
   *
   * @param ms time it took
   * @param typicalMs what its kind usually takes at the service's targets; 0 when not known
   */
  note(outcome: AttemptOutcome, ms: number, typicalMs: number): void;
  /** Notes that a request under way has taken far longer than usual. */
  noteOverdue(): void;
}
