import type { TargetId } from "../../common/ids/TargetId.ts";
import type { HealthAssessment } from "../detection/HealthAssessment.ts";

/** An announced target of a service, with the health detector's assessment of it. */
export interface RotationCandidate extends HealthAssessment {
  readonly id: TargetId;
  readonly slots: number;
  /** Whether the target is announced as ready, that is neither cold (starting up) nor draining. */
  readonly ready: boolean;
}
