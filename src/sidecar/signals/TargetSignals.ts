import type { LimitSignal } from "./LimitSignal.ts";

/** What a target says about itself in the head of a response, besides the response to the request. */
export interface TargetSignals {
  readonly limit: LimitSignal;
  /** The target is leaving and takes no new requests. */
  readonly isLeaving: boolean;
}
