import type { Clock } from "../../common/lifecycle/Clock.ts";
import { LimitExceededError } from "./LimitExceededError.ts";

/** Interim responses (1xx) that may arrive at once; a target sends a few hints, and one signal in some seconds. */
const BURST = 100;

/** Further interim responses a second that are accepted; sidecars send each other one in 300 ms. */
const PER_SECOND = 10;

/** Counts the interim responses to one request, against a limit that no legitimate sender reaches. */
export class InterimLimit {
  readonly #clock: Clock;
  readonly #startedAt: number;
  #count = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
  }

  /** Counts one; returns an error if there were too many. */
  count(): LimitExceededError | undefined {
    this.#count += 1;
    const seconds = (this.#clock.now() - this.#startedAt) / 1000;
    return this.#count > BURST + PER_SECOND * seconds
      ? new LimitExceededError(`${BURST} interim responses and ${PER_SECOND} a second`)
      : undefined;
  }
}
