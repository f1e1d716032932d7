import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";

/** What holds a slot: a grant that is to be taken, or a run. */
interface SlotHolder {
  readonly request: SlotRequest;
  readonly state: "granted" | "running";
  /** When it was granted, or its run began, by the clock, ms. */
  readonly since: number;
  /** Ends a grant that is not taken; tells when a run is overdue. */
  readonly timer: Timer;
  /** It is there to tell whether a target under suspicion is well. */
  readonly isProbe: boolean;
  /** It was told that the run is overdue. */
  isOverdue: boolean;
}

/** The slots of a target that are granted or in use, and since when. */
export class SlotTable {
  readonly #clock: Clock;
  readonly #holders = new Map<GrantId, SlotHolder>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Slots granted or in use. */
  get size(): number {
    return this.#holders.size;
  }

  /** Requests granted or under way that will tell whether the target is well. */
  get probes(): number {
    return [...this.#holders.values()].filter((h) => h.isProbe).length;
  }

  /** Whether `attempt` has a slot, granted or in use. */
  has(attempt: AttemptId): boolean {
    return [...this.#holders.values()].some((h) => h.request.attempt === attempt);
  }

  /** Whether a slot is granted that has not been taken yet. */
  isPending(grant: GrantId): boolean {
    return this.#holders.get(grant)?.state === "granted";
  }

  /** Grants a slot; `onExpired` is called if it is not taken within `expiresMs`. */
  grant(
    grant: GrantId,
    request: SlotRequest,
    isProbe: boolean,
    ttlMs: number,
    onExpired: () => void,
  ): void {
    const timer = this.#clock.after(ttlMs, onExpired);
    const since = this.#clock.now();
    this.#holders.set(grant, {
      request,
      state: "granted",
      since,
      timer,
      isProbe,
      isOverdue: false,
    });
  }

  /** Keeps a grant that was not taken for as long as its request has; false when there is none. */
  hold(grant: GrantId, onExpired: () => void): boolean {
    const holder = this.#holders.get(grant);
    if (holder?.state !== "granted") {
      return false;
    }
    holder.timer.cancel();
    const timer = this.#clock.after(holder.request.remainingMs, onExpired);
    this.#holders.set(grant, { ...holder, timer });
    return true;
  }

  /** Takes back a grant that was not taken; true when there was one. */
  revoke(grant: GrantId): boolean {
    const holder = this.#holders.get(grant);
    if (holder?.state !== "granted") {
      return false;
    }
    holder.timer.cancel();
    return this.#holders.delete(grant);
  }

  /**
   * Begins the run that a slot was granted for; undefined when there is no such grant.
   *
   * @param overdueMs how long the run may take before `onOverdue` is told; what that returns is whether it counts
   */
  take(
    grant: GrantId,
    overdueMs: (request: SlotRequest) => number,
    onOverdue: (since: number) => boolean,
  ): SlotRequest | undefined {
    const holder = this.#holders.get(grant);
    if (holder?.state !== "granted") {
      return undefined;
    }
    holder.timer.cancel();
    const { request, isProbe } = holder;
    const since = this.#clock.now();
    const timer = this.#clock.after(overdueMs(request), () => {
      running.isOverdue = onOverdue(since);
    });
    const running: SlotHolder = {
      request,
      state: "running",
      since,
      timer,
      isProbe,
      isOverdue: false,
    };
    this.#holders.set(grant, running);
    return request;
  }

  /** Ends a run; undefined when none is under way. */
  end(grant: GrantId): { request: SlotRequest; ms: number; wasOverdue: boolean } | undefined {
    const holder = this.#holders.get(grant);
    if (holder?.state !== "running") {
      return undefined;
    }
    holder.timer.cancel();
    this.#holders.delete(grant);
    const { request, since, isOverdue } = holder;
    return { request, ms: this.#clock.now() - since, wasOverdue: isOverdue };
  }
}
