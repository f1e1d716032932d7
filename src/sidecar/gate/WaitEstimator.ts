import { workspaceOf } from "../fairness/workspaceOf.ts";
import type { SlotRequestQueue } from "./SlotRequestQueue.ts";
import { isLate } from "./isLate.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";
import { SERVED_HERE_SHARE } from "./SERVED_HERE_SHARE.ts";

/** Number of recent grants that shares are computed from: those of the last 2 s at five slots and 0.5 s of work. */
const GRANT_WINDOW = 20;

/** How fast a target serves its queue. */
interface Pace {
  /** Mean time between two grants while requests are queued, ms. */
  readonly msPerGrant: number;
  /** Mean time for which a request occupies a slot, ms. */
  readonly serviceMs: number;
  /** Whether slot time is shared fairly among workspaces. */
  readonly isFair?: boolean;
}

/** The kind of request that a slot was granted to. */
interface GrantRecord {
  /** It was a nested call. */
  readonly isNestedCall: boolean;
  /** It could no longer meet its latency objective. */
  readonly isLate: boolean;
  /** The workspace that it counted for; empty for none. */
  readonly workspace?: string;
}

/**
 * Estimates how long a slot request will wait in a gate's queue. Nested calls are served first, and requests that can
 * still meet their latency objective before late ones, so the wait of the rest depends on how many slots those leave:
 * none under overload, and all once a burst is over. That share is estimated from the kinds of the recent grants.
 * With fair sharing, a request that waits behind others of its workspace also waits for requests that other workspaces
 * send later; how many slots those take is estimated in the same way.
 */
export class WaitEstimator {
  readonly #recentGrants: GrantRecord[] = [];

  /** Records that a slot was granted. */
  recordGrant(granted: GrantRecord): void {
    this.#recentGrants.push(granted);
    if (this.#recentGrants.length > GRANT_WINDOW) {
      this.#recentGrants.shift();
    }
  }

  /** Estimated remaining wait of `waiting`, queued or about to be, ms. */
  waitMs(
    waiting: QueuedRequest,
    queue: SlotRequestQueue,
    now: number,
    { msPerGrant, serviceMs, isFair = false }: Pace,
  ): number {
    const ahead = queue.ahead(waiting, now, serviceMs);
    const fairQueue = isFair ? queue : undefined;
    const onTimeWaitMs = this.#grantsUntilServed(waiting, ahead, fairQueue) * msPerGrant;
    // A request that becomes late before it is served is ordered among the late ones.
    if (!isLate(waiting, now + onTimeWaitMs, serviceMs)) {
      return onTimeWaitMs;
    }
    const lateAhead = ahead.filter((w) => isLate(w, now, serviceMs)).length;
    const onTime = queue.length - queue.countLate(now, serviceMs);
    const lateGrants = (lateAhead * SERVED_HERE_SHARE + 1) / this.#lateShare;
    return Math.max(onTimeWaitMs, (onTime * SERVED_HERE_SHARE + lateGrants) * msPerGrant);
  }

  /** Grants until a request that is not late is served, its own included. */
  #grantsUntilServed(
    { request }: QueuedRequest,
    ahead: readonly QueuedRequest[],
    fairQueue: SlotRequestQueue | undefined,
  ): number {
    const grants = ahead.length * SERVED_HERE_SHARE + 1;
    if (request.isNestedCall) {
      return grants;
    }
    // Nested calls that arrive later will be served before it, too, and requests of workspaces that have none queued
    // now if its own workspace has others before it.
    const callersAhead = ahead.filter((w) => !w.request.isNestedCall);
    const workspace = workspaceOf(request);
    const isBehindOwn = callersAhead.some((w) => workspaceOf(w.request) === workspace);
    const mayOvertake = ({ isNestedCall, workspace: other = "" }: GrantRecord) =>
      isNestedCall ||
      (fairQueue !== undefined &&
        isBehindOwn &&
        other !== workspace &&
        !fairQueue.hasWorkspace(other));
    const share = this.#shareOf((g) => !mayOvertake(g));
    return Math.max(grants, (callersAhead.length * SERVED_HERE_SHARE + 1) / share);
  }

  /** Share of the grants that go to late requests; taken to be 1 until grants to other requests are recorded. */
  get #lateShare(): number {
    return this.#shareOf((g) => g.isLate);
  }

  #shareOf(isOfKind: (granted: GrantRecord) => boolean): number {
    const others = this.#recentGrants.filter((g) => !isOfKind(g)).length;
    return 1 - others / (GRANT_WINDOW + 1);
  }
}
