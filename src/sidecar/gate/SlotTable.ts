import type { AttemptId } from "../../common/ids/AttemptId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { Ask } from "../hop/Ask.ts";

/** What holds a slot: a grant that is to be taken, or a run. */
interface Held {
  readonly ask: Ask;
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
  readonly #held = new Map<AttemptId, Held>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Slots granted or in use. */
  get size(): number {
    return this.#held.size;
  }

  /** Requests granted or under way that will tell whether the target is well. */
  get probes(): number {
    return [...this.#held.values()].filter((h) => h.isProbe).length;
  }

  has(attempt: AttemptId): boolean {
    return this.#held.has(attempt);
  }

  /** Whether a slot is granted to `attempt` that it has not taken yet. */
  hasGrant(attempt: AttemptId): boolean {
    return this.#held.get(attempt)?.state === "granted";
  }

  /** Grants a slot; `onVoid` is called if it is not taken within `voidMs`. */
  grant(ask: Ask, isProbe: boolean, voidMs: number, onVoid: () => void): void {
    const timer = this.#clock.after(voidMs, onVoid);
    const since = this.#clock.now();
    this.#held.set(ask.attempt, {
      ask,
      state: "granted",
      since,
      timer,
      isProbe,
      isOverdue: false,
    });
  }

  /** Keeps a grant that was not taken for as long as its request has; false when there is none. */
  hold(attempt: AttemptId, onVoid: () => void): boolean {
    const held = this.#held.get(attempt);
    if (held?.state !== "granted") {
      return false;
    }
    held.timer.cancel();
    const timer = this.#clock.after(held.ask.remainingMs, onVoid);
    this.#held.set(attempt, { ...held, timer });
    return true;
  }

  /** Takes back a grant that was not taken; true when there was one. */
  revoke(attempt: AttemptId): boolean {
    const held = this.#held.get(attempt);
    if (held?.state !== "granted") {
      return false;
    }
    held.timer.cancel();
    return this.#held.delete(attempt);
  }

  /**
   * Begins the run that a slot was granted for; undefined when there is no such grant.
   *
   * @param overdueMs how long the run may take before `onOverdue` is told; what that returns is whether it counts
   */
  take(
    attempt: AttemptId,
    overdueMs: (ask: Ask) => number,
    onOverdue: (since: number) => boolean,
  ): Ask | undefined {
    const granted = this.#held.get(attempt);
    if (granted?.state !== "granted") {
      return undefined;
    }
    granted.timer.cancel();
    const { ask, isProbe } = granted;
    const since = this.#clock.now();
    const timer = this.#clock.after(overdueMs(ask), () => {
      running.isOverdue = onOverdue(since);
    });
    const running: Held = { ask, state: "running", since, timer, isProbe, isOverdue: false };
    this.#held.set(attempt, running);
    return ask;
  }

  /** Ends a run; undefined when none is under way. */
  end(attempt: AttemptId): { ask: Ask; ms: number; wasOverdue: boolean } | undefined {
    const held = this.#held.get(attempt);
    if (held?.state !== "running") {
      return undefined;
    }
    held.timer.cancel();
    this.#held.delete(attempt);
    const { ask, since, isOverdue } = held;
    return { ask, ms: this.#clock.now() - since, wasOverdue: isOverdue };
  }
}
