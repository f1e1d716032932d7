import type { Clock } from "../../common/lifecycle/Clock.ts";

/** A silent sidecar is left alone for this long at first, ms; each time soon after twice as long... */
const FIRST_PAUSE_MS = 400;

/** ...up to this, ms: a cut is then found healed within a few seconds. */
const MAX_PAUSE_MS = 3200;

/** Weight of the newest answer time in the average. */
const WEIGHT = 0.3;

/**
 * The path to one sidecar as this one sees it, from how it answers asks. A path that
 * is cut or loses packets shows as silence; it is then left to others for a while, and
 * tried again beside a path that works.
 */
export class LinkHealth {
  readonly #clock: Clock;
  #pauseMs = FIRST_PAUSE_MS;
  #suspectUntil = -Infinity;
  #answerMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** True while other paths are to be preferred. */
  get isSuspect(): boolean {
    return this.#clock.now() < this.#suspectUntil;
  }

  /** How long it takes to answer an ask that need not wait, ms. */
  get answerMs(): number {
    return this.#answerMs;
  }

  /** It answered, after `ms`. */
  noteAnswer(ms: number): void {
    this.#answerMs += WEIGHT * (ms - this.#answerMs);
    this.#suspectUntil = -Infinity;
    this.#pauseMs = FIRST_PAUSE_MS;
  }

  /** It did not answer in time, or the connection failed. */
  noteSilence(): void {
    if (!this.isSuspect) {
      this.#suspectUntil = this.#clock.now() + this.#pauseMs;
      this.#pauseMs = Math.min(this.#pauseMs * 2, MAX_PAUSE_MS);
    }
  }
}
