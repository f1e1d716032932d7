import type { TargetId } from "../../common/ids/TargetId.ts";
import type { Judgement } from "../detection/Judgement.ts";

/** One announced target of a service, and what the detector thinks of it. */
export interface RotationCandidate extends Judgement {
  readonly id: TargetId;
  readonly slots: number;
  /** Announced itself ready: not cold, not draining. */
  readonly ready: boolean;
}
