import type { BucketLimits } from "../../common/rates/BucketLimits.ts";
import { TokenBucket } from "../../common/rates/TokenBucket.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { LimitSignal } from "../signals/LimitSignal.ts";
import { NamedLimit } from "../signals/NamedLimit.ts";

/**
 * Lowest rate that is enforced, requests a second: only responses show that a lower limit, or one of 0, is no longer
 * named.
 */
const MIN_PER_S = 0.25;

/** Shorter waits are rounding errors of the token bucket, ms. */
const MIN_WAIT_MS = 0.01;

/** Requests that may follow each other at once are those of this time, s. */
const BURST_S = 1;

/**
 * Keeps the requests that reach a target within the limit that it names: in any `t` seconds, at most the limit times
 * `t`, and the burst of one second. Tokens are taken when requests are sent, so that those that wait for their body
 * count when they arrive.
 */
export class RequestRateLimit {
  readonly #clock: Clock;
  readonly #named = new NamedLimit();
  #bucket: TokenBucket | undefined;
  /** The limit that a sender knows of; undefined once the target itself has responded. */
  #reported: number | undefined;
  #hasResponded = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** The limit in force, requests a second; undefined if there is none. */
  get perS(): number | undefined {
    return this.#hasResponded ? this.#named.perS : this.#reported;
  }

  /** Time between two requests at the limit, ms; 0 without a limit. */
  get intervalMs(): number {
    return this.#limits ? 1000 / this.#limits.ratePerS : 0;
  }

  /** Records what a response to a request that was sent at `sentAt` (ms) says. */
  recordResponse(signal: LimitSignal, sentAt: number): void {
    const now = this.#clock.now();
    this.#named.record(signal, sentAt, now);
    this.#hasResponded ||= signal.kind !== "invalid";
    this.#updateBucket(now);
  }

  /**
   * Records the limit that a sender knows from a response. It counts until the target itself has responded: this process
   * may have started after the target named its limit, and any later response is newer.
   */
  recordReport(perS: number | undefined): void {
    if (!this.#hasResponded && perS !== undefined) {
      this.#reported = Math.min(perS, this.#reported ?? Infinity);
      this.#updateBucket(this.#clock.now());
    }
  }

  /** Records that a request is sent to the target. */
  recordStart(): void {
    if (this.#limits) {
      this.#bucket?.spend(this.#limits, this.#clock.now());
    }
  }

  /** Time until another request may be granted while `pending` granted ones have not been sent, ms. */
  waitMs(pending: number): number {
    const limits = this.#limits;
    const waitMs = limits && this.#bucket?.waitMs(limits, this.#clock.now(), pending + 1);
    return waitMs === undefined || waitMs < MIN_WAIT_MS ? 0 : waitMs;
  }

  get #limits(): BucketLimits | undefined {
    const { perS } = this;
    if (perS === undefined) {
      return undefined;
    }
    const ratePerS = Math.max(MIN_PER_S, perS);
    return { ratePerS, capacity: Math.max(1, ratePerS * BURST_S) };
  }

  /** A new limit begins without a burst: what was sent before it was known may have used it up. */
  #updateBucket(now: number): void {
    this.#bucket = this.#limits && (this.#bucket ?? new TokenBucket(0, now));
  }
}
