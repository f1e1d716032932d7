import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * A one-sided CUSUM (Page, "Continuous Inspection Schemes", 1954) that fades: the
 * log-likelihood ratio of "this target is gray" against "it is healthy", never below
 * zero, and halved with time, since without requests there is no news.
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

  /** The evidence now, nats. */
  get value(): number {
    return this.#nats * 0.5 ** ((this.#clock.now() - this.#at) / this.#halfLifeMs());
  }

  /** Adds one observation, up to `most`. */
  add(nats: number, most: number): void {
    this.#nats = Math.min(most, Math.max(0, this.value + nats));
    this.#at = this.#clock.now();
  }
}
