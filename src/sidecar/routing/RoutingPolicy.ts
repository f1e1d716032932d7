import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { PickResult } from "./PickResult.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** Chooses targets and learns from how attempts at them end. */
export interface RoutingPolicy extends IDisposable {
  /** Picks a target of the route's service, leaving out those in `tried`. */
  pick(route: RouteMatch, tried: ReadonlySet<TargetId>): PickResult;
  /** Notes an attempt sent to `target`; call the result once, with how it ended. */
  begin(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void;
  /** Routing state of each known target, for `/status`. */
  describe(): { id: TargetId; rotation: "in" | "ejected" }[];
}
