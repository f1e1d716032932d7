import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * How long targets are sound between two gray spells, and how long a spell lasts, on average, ms.
 * From the logs of one quiet day of 13 targets: 12 spells began in 430 s, and a quarter of the time
 * was gray. Only how soon an old answer stops telling anything depends on them.
 */
const SOUND_MS = 21_000;
const SPELL_MS = 9000;

/** Share of the time that a target is gray, where nothing is known of it. */
const USUAL = SPELL_MS / (SOUND_MS + SPELL_MS);

/** Time in which what is known of a target loses most of its worth, ms. */
const FORGET_MS = 1 / (1 / SOUND_MS + 1 / SPELL_MS);

/** The chance stays this far from certainty, so that a few answers can always turn it. */
const LEAST = 0.002;

/**
 * The chance that a target is in a gray spell: a hidden Markov model of two states,
 * sound and gray, filtered by what its answers say (Rabiner, "A Tutorial on Hidden
 * Markov Models", 1989). Between answers the chance drifts to the usual one: a target
 * that answered well two seconds ago may have turned since.
 */
export class GrayStateFilter {
  readonly #clock: Clock;
  #chance = LEAST;
  #at: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#at = clock.now();
  }

  /** The chance now, above 0 and below 1. */
  get value(): number {
    const kept = Math.exp((this.#at - this.#clock.now()) / FORGET_MS);
    return USUAL + (this.#chance - USUAL) * kept;
  }

  /** Log-odds of the chance, nats. */
  get nats(): number {
    const chance = this.value;
    return Math.log(chance / (1 - chance));
  }

  /** Takes one observation in: its log-likelihood ratio of gray against sound, nats. */
  add(nats: number): void {
    const odds = Math.exp(this.nats + nats);
    this.#chance = Math.min(1 - LEAST, Math.max(LEAST, odds / (1 + odds)));
    this.#at = this.#clock.now();
  }
}
