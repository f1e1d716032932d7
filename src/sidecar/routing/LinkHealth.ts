import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * How long a sidecar stays suspect after its first missing reply, ms. Doubles with each further one until it replies.
 */
const INITIAL_SUSPECT_MS = 400;

/** Upper bound of the suspect period, ms: a healed network partition is then noticed within a few seconds. */
const MAX_SUSPECT_MS = 3200;

/** Weight of the newest reply time in the moving average. */
const REPLY_TIME_WEIGHT = 0.3;

/**
 * Health of the network path to one other sidecar, judged by its replies to slot requests.
 * A partition or packet loss shows as missing replies. The path is then suspect: other
 * paths are preferred for a while, after which it is tried again alongside a working one.
 */
export class LinkHealth {
  readonly #clock: Clock;
  #suspectMs = INITIAL_SUSPECT_MS;
  #suspectUntil = -Infinity;
  #replyMs = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether other paths should be preferred. */
  get isSuspect(): boolean {
    return this.#clock.now() < this.#suspectUntil;
  }

  /** Moving average of the reply time for slot requests that are not queued, ms. */
  get replyMs(): number {
    return this.#replyMs;
  }

  /** Records a reply that took `ms`, and clears the suspicion. */
  recordReply(ms: number): void {
    this.#replyMs += REPLY_TIME_WEIGHT * (ms - this.#replyMs);
    this.#suspectUntil = -Infinity;
    this.#suspectMs = INITIAL_SUSPECT_MS;
  }

  /** Records a missing reply or a failed connection. */
  recordMissingReply(): void {
    if (!this.isSuspect) {
      this.#suspectUntil = this.#clock.now() + this.#suspectMs;
      this.#suspectMs = Math.min(this.#suspectMs * 2, MAX_SUSPECT_MS);
    }
  }
}
