import type { TargetId } from "../../common/ids/TargetId.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { AskReply } from "../hop/AskReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** A target to ask. */
export interface Picked {
  readonly target: TargetInfo;
  /** It is gray, and in rotation only since the service's floor needs it: it is to take the request all the same. */
  readonly insist: boolean;
  /** Chance that it fails the request, as far as is known here. */
  readonly risk: number;
  /** It is under suspicion, and due to be tried. */
  readonly isProbe?: boolean;
}

/** What a target is sought for. */
export interface PickFor {
  readonly route: RouteMatch;
  /** Another try is left if this one fails. */
  readonly isExpendable: boolean;
}

/** Chooses targets and learns from how they are heard of. */
export interface RoutingPolicy extends IDisposable {
  /** The target to ask next for a request, leaving out those in `tried`. */
  pick(request: PickFor, tried: ReadonlySet<TargetId>): Picked | undefined;
  /** The sidecar beside `target` answered an ask, after `ms` without waiting for a slot. */
  noteReply(target: TargetInfo, reply: AskReply, ms: number | undefined): void;
  /** The gate to a target tells how it is, without having been asked. */
  noteNews(target: TargetId, load: GateLoad): void;
  /** The sidecar beside `target` did not answer an ask, or a run, in time. */
  noteSilence(target: TargetInfo): void;
  /** Notes a request sent to `target`; call the result once, with how it ended. */
  begin(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void;
  /** What a request of `route` usually takes at its service's targets, ms. */
  typicalMs(route: RouteMatch): number;
  /** Routing state of each known target, for `/status`. */
  describe(): { id: TargetId; rotation: "in" | "ejected" }[];
}
