import type { TargetId } from "../../common/ids/TargetId.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** A target to ask. */
export interface PickedTarget {
  readonly target: TargetInfo;
  /** It is under suspicion, and due to be tried with a request that has another try left. */
  readonly isProbe?: boolean;
}

/** A target under suspicion. */
export interface SuspectTarget {
  readonly target: TargetInfo;
  /** Chance that it fails the request, as far as is known here. */
  readonly risk: number;
  /** The service's floor keeps it in rotation: it takes what the others have no room for. */
  readonly isKept: boolean;
}

/** What a target is sought for. */
export interface PickContext {
  readonly route: RouteMatch;
  /** Another try is left if this one fails. */
  readonly isExpendable: boolean;
  /** A target makes it in the midst of a run, which is lost without it. */
  readonly isCall?: boolean;
}

/** Chooses targets and learns from how they are heard of. */
export interface RoutingPolicy extends IDisposable {
  /** The target to ask next for a request, leaving out those in `tried` and those under suspicion. */
  pick(request: PickContext, tried: ReadonlySet<TargetId>): PickedTarget | undefined;
  /** Those under suspicion, from the best: the floor keeps the first ones in rotation. */
  suspected(request: PickContext, tried: ReadonlySet<TargetId>): SuspectTarget[];
  /** The sidecar beside `target` answered an ask, after `ms` without waiting for a slot. */
  noteReply(target: TargetInfo, reply: SlotReply, ms: number | undefined): void;
  /** An ask stands in line at the gate to `target`, which is as busy as that. */
  noteQueued(target: TargetInfo, load: GateLoad): void;
  /** The gate to a target tells how it is, without having been asked. */
  noteLoad(target: TargetId, load: GateLoad): void;
  /** A request of `route` was granted a slot, after `waitedMs`. */
  noteWait(route: RouteMatch, waitedMs: number): void;
  /** Whether requests of a route's service wait in line for want of room. */
  isPressed(route: RouteMatch): boolean;
  /** The sidecar beside `target` did not answer an ask, or a run, in time. */
  noteTimeout(target: TargetInfo): void;
  /** Notes a request sent to `target`; call the result once, with how it ended. */
  begin(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void;
  /** What a request of `route` usually takes at its service's targets, ms. */
  typicalMs(route: RouteMatch): number;
  /** Routing state of each known target, for `/status`. */
  describe(): { id: TargetId; rotation: "in" | "ejected" }[];
}
