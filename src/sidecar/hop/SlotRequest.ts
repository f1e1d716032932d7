import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";

/**
 * A sidecar with a caller's request asks the sidecar beside a target for a slot
 * there. Asking is free of effect: nothing runs before the slot that was granted is
 * taken, so it may ask several at once, and again after silence.
 */
export interface SlotRequest {
  readonly attempt: AttemptId;
  /** The target that is asked for; another one may be there by now. */
  readonly target: TargetId;
  /** Another try is left if this one fails: it may go to a target under suspicion, to tell how that is. */
  readonly isExpendable: boolean;
  /** It is for a call that a target makes in the midst of a run: that holds a slot elsewhere, and is lost without it. */
  readonly isCall: boolean;
  /** Requests wait in line for want of room where it comes from: whether a target is well is to be known soon. */
  readonly isPressed: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Time left for the answer, ms. */
  readonly remainingMs: number;
  /** Time left until the answer is late by the route's objective, ms; negative when it is. */
  readonly objectiveMs: number;
  /** What requests of its kind usually take at the service's targets, ms; 0 when not known. */
  readonly typicalMs: number;
  /** Size of the request's body, bytes; 0 for none, or where its sender does not say. */
  readonly bodyBytes: number;
  /** There is no better target: grant it also while this one is under suspicion, unless it fails with a higher chance than this. */
  readonly acceptsRisk: number;
}
