import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * A one-sided CUSUM (Page, "Continuous Inspection Schemes", 1954) with exponential decay:
 * the log-likelihood ratio of "this target is gray" against "it is healthy", never below
 * zero. It halves every half-life, since old evidence says little about the present state.
 */
export class DecayingScore {
  readonly #clock: Clock;
  readonly #halfLifeMs: () => number;
  #nats = 0;
  #at = 0;

  constructor(clock: Clock, halfLifeMs: () => number) {
    this.#clock = clock;
    this.#halfLifeMs = halfLifeMs;
  }

  /** The decayed score at the current time, nats. */
  get value(): number {
    return this.#nats * 0.5 ** ((this.#clock.now() - this.#at) / this.#halfLifeMs());
  }

  /** Adds one observation, nats, and limits the score to at most `max`. */
  add(nats: number, max: number): void {
    this.#nats = Math.min(max, Math.max(0, this.value + nats));
    this.#at = this.#clock.now();
  }
}
