import type { TargetId } from "../../common/ids/TargetId.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { TargetInfo } from "../../membership/TargetInfo.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { SlotReply } from "../hop/SlotReply.ts";
import type { GateLoad } from "../hop/GateLoad.ts";
import type { RouteMatch } from "./RouteMatch.ts";
import type { TargetSurvey } from "./TargetSurvey.ts";

/** The target to send the next slot request to. */
export interface PickedTarget {
  readonly target: TargetInfo;
  /**
   * The target is suspect and due for a probe, which this request can serve as since it can still be retried, or the
   * target wants work.
   */
  readonly isProbe?: boolean;
}

/** A target that the health detector holds suspect or ejected. */
export interface SuspectTarget {
  readonly target: TargetInfo;
  /** Estimated probability that it fails the request, from its gate's last report. */
  readonly risk: number;
  /**
   * The service's floor keeps it in rotation although it is gray: it takes requests that the healthy targets
   * have no room for.
   */
  readonly isKeptByFloor: boolean;
}

/** The request that a target is picked for. */
export interface PickContext {
  readonly route: RouteMatch;
  /** The request can be sent again if this attempt fails. */
  readonly isRetryable: boolean;
  /** It is a nested call: the run that makes it fails without a response. */
  readonly isNestedCall?: boolean;
  /**
   * The request is a hedge of a run at this target: it is not sent to suspect targets nor as a probe, and to another
   * zone if possible.
   */
  readonly hedgeOf?: TargetInfo;
}

/** Chooses targets, using the replies, load reports and outcomes that it is notified of. */
export interface RoutingPolicy extends IDisposable {
  /** Picks the target for the next slot request, excluding those in `tried` and those that are suspect or ejected. */
  pick(request: PickContext, tried: ReadonlySet<TargetId>): PickedTarget | undefined;
  /** Lists the suspect and ejected targets, lowest risk first: the floor keeps the first ones in rotation. */
  suspects(request: PickContext, tried: ReadonlySet<TargetId>): SuspectTarget[];
  /**
   * Records the reply to a slot request and its round-trip time, ms; undefined if the request waited in the
   * admission queue.
   */
  recordReply(target: TargetInfo, reply: SlotReply, ms: number | undefined): void;
  /** Records that a slot request was put in the admission queue of `target`, whose gate reports `load`. */
  recordQueued(target: TargetInfo, load: GateLoad): void;
  /** Records an unsolicited load report from the gate of a target. */
  recordLoad(target: TargetId, load: GateLoad): void;
  /** Records that a request of `route` waited `waitedMs` for its slot. */
  recordWait(route: RouteMatch, waitedMs: number): void;
  /** Records whether a request of `route` was served in the end. */
  recordResult(route: RouteMatch, isServed: boolean): void;
  /** Share of the service's recent requests that this sidecar could not get served, 0 to 1. */
  unservedShare(service: string): number;
  /** Whether requests of the route's service currently wait in admission queues because all slots are in use. */
  isCongested(route: RouteMatch): boolean;
  /** Records that the sidecar co-located with `target` stopped responding to a slot request or during a run. */
  recordTimeout(target: TargetInfo): void;
  /** Records a request sent to `target`; the returned function must be called once, with the outcome. */
  recordStart(route: RouteMatch, target: TargetInfo): (outcome: AttemptOutcome) => void;
  /**
   * Typical response time of a request on the route, ms.
   *
   * @param target the target that it is to be sent to; where its sidecar is being stopped, a few first responses limit
   * an assumption that was never measured
   */
  typicalMs(route: RouteMatch, target?: TargetInfo): number;
  /** Counts the targets of the request's service by what this sidecar believes about them, for log lines. */
  survey(request: PickContext, tried: ReadonlySet<TargetId>): TargetSurvey;
  /** Returns the routing state of each known target, for `/status`. */
  describe(): { id: TargetId; rotation: "in" | "ejected" }[];
}
