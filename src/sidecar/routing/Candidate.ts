import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { TargetView } from "./TargetViews.ts";

/** A target that may be picked, with this sidecar's view of it. */
export interface Candidate {
  readonly target: TargetInfo;
  readonly view: TargetView;
}
