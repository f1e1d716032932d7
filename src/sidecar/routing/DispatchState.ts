import type { TargetId } from "../../common/ids/TargetId.ts";
import type { RequestGuard } from "../quarantine/RequestGuard.ts";
import type { CallerRequest } from "./CallerRequest.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** Progress of one request through the dispatcher. */
export interface DispatchState {
  readonly route: RouteMatch;
  readonly req: CallerRequest;
  /** It is made by a target during a run. */
  readonly isNestedCall: boolean;
  readonly guard: RequestGuard;
  /** Targets that are not to be tried again. */
  readonly tried: Set<TargetId>;
  /** Number of targets that it was sent to and that may have run it. */
  sends: number;
  /** Number of sends that a target refused to run. */
  refusedSends: number;
  /** Number of searches in which every target refused it, counted for nested calls. */
  refusals: number;
  /** Number of grants that expired before the request reached the target. */
  expired: number;
}
