import type { SlotRequestQueue } from "./SlotRequestQueue.ts";
import { isLate } from "./isLate.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** Share of the waiting asks that come to run here: the others take another gate's grant. */
const SERVED_HERE_SHARE = 0.5;

/** Grants from which it is told how often a late one gets its turn: at five slots and half a second of work, the last two seconds'. */
const GRANT_WINDOW = 20;

/** How fast a target works its line off. */
interface Pace {
  readonly slots: number;
  /** How long a slot is in use for one request, ms. */
  readonly serviceMs: number;
}

/** A grant, as far as it tells what those that are behind in line may expect. */
interface GrantRecord {
  /** It went to a call that a target makes. */
  readonly isCall: boolean;
  /** It went to one that is late anyway. */
  readonly isLate: boolean;
}

/**
 * Tells how long an ask will stand in a gate's line. Calls go first, and asks that can still meet their
 * objective go before those that are late, so a turn further back depends on how many
 * slots the others leave: none while more come than can be served, and all once a burst
 * is over. That is told from the shares of each among those who were served last.
 */
export class WaitEstimator {
  readonly #recentGrants: GrantRecord[] = [];

  /** Notes that an ask was given a slot. */
  recordGrant(granted: GrantRecord): void {
    this.#recentGrants.push(granted);
    if (this.#recentGrants.length > GRANT_WINDOW) {
      this.#recentGrants.shift();
    }
  }

  /** How long `waiting`, in line or about to join it, will wait from now on, ms. */
  waitMs(
    waiting: QueuedRequest,
    queue: SlotRequestQueue,
    now: number,
    { slots, serviceMs }: Pace,
  ): number {
    const msPerGrant = serviceMs / Math.max(1, slots);
    const ahead = queue.ahead(waiting, now, serviceMs);
    const onTimeWaitMs = this.#grantsUntilServed(waiting, ahead) * msPerGrant;
    // One that will be late by its turn comes to stand with the late ones.
    if (!isLate(waiting, now + onTimeWaitMs, serviceMs)) {
      return onTimeWaitMs;
    }
    const lateAhead = ahead.filter((w) => isLate(w, now, serviceMs)).length;
    const onTime = queue.length - queue.countLate(now, serviceMs);
    const lateGrants = (lateAhead * SERVED_HERE_SHARE + 1) / this.#lateShare;
    return Math.max(onTimeWaitMs, (onTime * SERVED_HERE_SHARE + lateGrants) * msPerGrant);
  }

  /** Turns until that of one which is not late, itself included. */
  #grantsUntilServed({ request }: QueuedRequest, ahead: readonly QueuedRequest[]): number {
    const grants = ahead.length * SERVED_HERE_SHARE + 1;
    if (request.isCall) {
      return grants;
    }
    // Calls that have not come yet will go before it, too.
    const callersAhead = ahead.filter((w) => !w.request.isCall).length;
    return Math.max(
      grants,
      (callersAhead * SERVED_HERE_SHARE + 1) / this.#shareOf((g) => !g.isCall),
    );
  }

  /** Share of the grants that late asks get; all, until the others are seen to take them. */
  get #lateShare(): number {
    return this.#shareOf((g) => g.isLate);
  }

  #shareOf(isOfKind: (granted: GrantRecord) => boolean): number {
    const others = this.#recentGrants.filter((g) => !isOfKind(g)).length;
    return 1 - others / (GRANT_WINDOW + 1);
  }
}
