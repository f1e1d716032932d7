import type { Clock } from "../../common/lifecycle/Clock.ts";

/** Refusals in a row from which requests are delayed; a single one may be chance. */
const MIN_REFUSALS = 2;

/** Time between the requests sent to a target after so many refusals, ms; doubled by each further one. */
const FIRST_PAUSE_MS = 10;

/** Longest time between these requests, ms: targets announce a change of their state at this interval. */
const MAX_PAUSE_MS = 500;

/** Time after which a request that has not been refused counts as accepted, ms: targets refuse at once. */
const ACCEPTED_AFTER_MS = 50;

/**
 * Decides how soon a target that refuses requests, though it has free slots, is sent the next one: it may be draining, and
 * its announcement still on the way. Each refused request costs its service's retry budget a token, so a target that
 * refuses everything would use it up. Requests follow one by one at growing intervals until one is accepted.
 */
export class RefusalBackoff {
  readonly #clock: Clock;
  /** Number of refusals since a request was last accepted. */
  #refusals = 0;
  #refusedAt = -Infinity;
  /** When a request was last sent to the target, by the clock, ms. */
  #startedAt = -Infinity;
  /** When a request was last granted a slot, by the clock, ms. */
  #grantedAt = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a slot was granted, whose request follows. */
  recordGrant(): void {
    this.#grantedAt = this.#clock.now();
  }

  /** Records that a request is sent to the target. */
  recordStart(): void {
    this.#startedAt = this.#clock.now();
  }

  /** Records that the target has refused a request. */
  recordRefusal(): void {
    this.#refusals += 1;
    this.#refusedAt = this.#clock.now();
  }

  /** Records that the target has accepted a request. */
  recordAccepted(): void {
    this.#refusals = 0;
  }

  /** Time until the next request may be sent, ms; 0 if that is now. */
  get waitMs(): number {
    if (this.#refusals < MIN_REFUSALS || this.#isAccepting) {
      return 0;
    }
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (this.#refusals - MIN_REFUSALS));
    const nextAt = Math.max(this.#refusedAt, this.#grantedAt) + pauseMs;
    return Math.max(0, nextAt - this.#clock.now());
  }

  /** Whether a request sent after the last refusal has been at the target for longer than a refusal takes. */
  get #isAccepting(): boolean {
    const now = this.#clock.now();
    return this.#startedAt > this.#refusedAt && now - this.#startedAt >= ACCEPTED_AFTER_MS;
  }
}
