import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { WorkspaceName } from "../../common/ids/WorkspaceName.ts";

/**
 * Request for a slot at a target, sent by a sidecar that has a caller's request to the target's sidecar. It has no side
 * effects: nothing runs until a granted slot is used, so several targets may be asked at once, and a request without a
 * reply may be repeated.
 */
export interface SlotRequest {
  readonly attempt: AttemptId;
  /** The requested target; the sidecar may have a different local target by now. */
  readonly target: TargetId;
  /** The request can be retried if it fails, so it may go to a suspect target as a probe. */
  readonly isRetryable: boolean;
  /** The request may run more than once. */
  readonly isIdempotent: boolean;
  /** It is a nested call: the run that makes it holds a slot at another target, and fails if the call does. */
  readonly isNestedCall: boolean;
  /** Requests are queued at the sender for lack of capacity, so a suspect target should be probed soon. */
  readonly isCongested: boolean;
  /** Share of the service's recent requests that its sender could not get served, 0 to 1. */
  readonly unservedShare: number;
  /** Priority of the route; 0 is the highest. */
  readonly priority: number;
  /** Time remaining for the response, ms. */
  readonly remainingMs: number;
  /** Time remaining until the route's latency objective, ms; negative when it has passed. */
  readonly objectiveMs: number;
  /** Typical duration of such requests at the service's targets, ms; 0 if unknown. */
  readonly typicalMs: number;
  /** Size of the request body, bytes; 0 if there is none or its size is unknown. */
  readonly bodyBytes: number;
  /**
   * Highest failure probability at which a suspect target should still grant the request, because there is no better
   * target; 0 if there is one.
   */
  readonly acceptsRisk: number;
  /**
   * Limit that the target has named in a response which the sender has returned to a caller, requests a second. The
   * target's sidecar may have started again since and not know of it.
   */
  readonly limitPerS?: number;
  /** The workspace that the request belongs to; undefined for none, and if its service does not share slots fairly. */
  readonly workspace?: WorkspaceName;
}
