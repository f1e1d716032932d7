import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * Mean duration of a healthy period and of a gray period, ms. From the logs of one quiet day of
 * 13 targets: 12 gray periods began in 430 s, and a quarter of the time was gray. They only
 * determine how fast old evidence loses its weight.
 */
const MEAN_HEALTHY_MS = 21_000;
const MEAN_GRAY_MS = 9000;

/** Prior probability that a target is gray, without any evidence about it. */
const PRIOR_CHANCE = MEAN_GRAY_MS / (MEAN_HEALTHY_MS + MEAN_GRAY_MS);

/** Time constant with which the estimate returns to the prior, ms. */
const RELAXATION_MS = 1 / (1 / MEAN_HEALTHY_MS + 1 / MEAN_GRAY_MS);

/** The estimate stays this far from 0 and 1, so that a few observations can always change it. */
const MIN_CHANCE = 0.002;

/**
 * Estimates the probability that a target is gray: a hidden Markov model of two states,
 * healthy and gray, filtered by the outcomes of its requests (Rabiner, "A Tutorial on
 * Hidden Markov Models", 1989). Between observations the estimate returns to the prior,
 * since a target that responded correctly two seconds ago may have become gray since.
 */
export class GrayStateFilter {
  readonly #clock: Clock;
  #chance = MIN_CHANCE;
  #updatedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /** The probability at the current time, above 0 and below 1. */
  get value(): number {
    const retained = Math.exp((this.#updatedAt - this.#clock.now()) / RELAXATION_MS);
    return PRIOR_CHANCE + (this.#chance - PRIOR_CHANCE) * retained;
  }

  /** Log-odds of the probability, nats. */
  get nats(): number {
    const chance = this.value;
    return Math.log(chance / (1 - chance));
  }

  /** Adds one observation as its log-likelihood ratio of gray against healthy, nats. */
  add(nats: number): void {
    const odds = Math.exp(this.nats + nats);
    this.#chance = Math.min(1 - MIN_CHANCE, Math.max(MIN_CHANCE, odds / (1 + odds)));
    this.#updatedAt = this.#clock.now();
  }
}
