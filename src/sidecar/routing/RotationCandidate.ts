import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Judgement } from "../detection/Judgement.ts";

/** An announced target of a service, with the health detector's assessment of it. */
export interface RotationCandidate extends Judgement {
  readonly id: TargetId;
  readonly slots: number;
  /** Whether the target is announced as ready, that is neither cold (starting up) nor draining. */
  readonly ready: boolean;
}
