import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { SlotRequest } from "../hop/SlotRequest.ts";

/** The holder of a slot: an unused grant, or a run. */
interface SlotHolder {
  readonly request: SlotRequest;
  readonly state: "granted" | "running";
  /** When it was granted or when its run began, by the clock, ms. */
  readonly since: number;
  /** Expires an unused grant; reports an overdue run. */
  readonly timer: Timer;
  /** It is a probe: it shows whether a suspect target is healthy. */
  readonly isProbe: boolean;
  /** The run was reported as overdue, and this counted. */
  isOverdue: boolean;
}

/** Tracks the slots of a target that are granted or in use. */
export class SlotTable {
  readonly #clock: Clock;
  readonly #holders = new Map<GrantId, SlotHolder>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Number of slots granted or in use. */
  get size(): number {
    return this.#holders.size;
  }

  /** Total size of the bodies of the requests that have a slot, bytes. */
  get requestBytes(): number {
    return [...this.#holders.values()].reduce((sum, { request }) => sum + request.bodyBytes, 0);
  }

  /** Number of granted slots whose requests have not arrived. */
  get pending(): number {
    return [...this.#holders.values()].filter((h) => h.state === "granted").length;
  }

  /** Number of probes granted or in progress. */
  get probes(): number {
    return [...this.#holders.values()].filter((h) => h.isProbe).length;
  }

  /** Whether `attempt` has a slot, granted or in use. */
  has(attempt: AttemptId): boolean {
    return [...this.#holders.values()].some((h) => h.request.attempt === attempt);
  }

  /** Whether a grant is neither used nor expired. */
  isPending(grant: GrantId): boolean {
    return this.#holders.get(grant)?.state === "granted";
  }

  /** Grants a slot; `onExpired` is called if the grant is not used within `ttlMs`. */
  grant(
    grant: GrantId,
    request: SlotRequest,
    isProbe: boolean,
    ttlMs: number,
    onExpired: () => void,
  ): void {
    const timer = this.#clock.timeout(ttlMs, onExpired);
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

  /** Extends an unused grant until the deadline of its request; false if there is none. */
  hold(grant: GrantId, onExpired: () => void): boolean {
    const holder = this.#holders.get(grant);
    if (holder?.state !== "granted") {
      return false;
    }
    holder.timer.cancel();
    const timer = this.#clock.timeout(holder.request.remainingMs, onExpired);
    this.#holders.set(grant, { ...holder, timer });
    return true;
  }

  /** Revokes an unused grant; false if there is none. */
  revoke(grant: GrantId): boolean {
    const holder = this.#holders.get(grant);
    if (holder?.state !== "granted") {
      return false;
    }
    holder.timer.cancel();
    return this.#holders.delete(grant);
  }

  /**
   * Redeems a grant and begins its run; undefined if there is no such unused grant.
   *
   * @param overdueMs time after which the run is overdue, ms
   * @param onOverdue called when the run is overdue; returns whether that counts against the target
   */
  redeem(
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
    const timer = this.#clock.timeout(overdueMs(request), () => {
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

  /** Ends a run; undefined if none is in progress. */
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
