import type { Clock } from "../../common/lifecycle/Clock.ts";
import { DecayingScore } from "../detection/DecayingScore.ts";

/** Mean number of nested calls per run, by name of the called service. */
export type MeanNestedCalls = ReadonlyMap<string, number>;

/** Half-life of the counts, ms: a few dozen runs of a busy target, a few of a quiet one. */
const HALF_LIFE_MS = 10_000;

/** Runs without nested calls that are assumed initially, to damp the means until enough runs have been counted. */
const PRIOR_RUNS = 1;

/** Means below this are not reported. */
const MIN_MEAN = 0.02;

/**
 * Measures how many nested calls the local targets make per run. Retrying a request also repeats its nested calls,
 * which count against the retry budgets of the called services: without counting them, half of the requests that
 * exceeded such a budget were nested calls for which no retry token had been borrowed.
 */
export class CallsPerRun {
  readonly #clock: Clock;
  readonly #runs: DecayingScore;
  readonly #calls = new Map<string, DecayingScore>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#runs = this.#createCounter();
  }

  /** Records the start of a run. */
  recordRun(): void {
    this.#runs.add(1, Infinity);
  }

  /** Records a request to `service` that is a nested call with probability `weight`, 0 to 1. */
  recordCall(service: string, weight: number): void {
    let calls = this.#calls.get(service);
    if (!calls) {
      calls = this.#createCounter();
      this.#calls.set(service, calls);
    }
    calls.add(weight, Infinity);
  }

  /** Mean number of nested calls per run, by called service. */
  get means(): MeanNestedCalls {
    const runs = this.#runs.value + PRIOR_RUNS;
    const means = [...this.#calls].map(
      ([service, calls]) => [service, calls.value / runs] as const,
    );
    return new Map(means.filter(([, mean]) => mean >= MIN_MEAN));
  }

  #createCounter(): DecayingScore {
    return new DecayingScore(this.#clock, () => HALF_LIFE_MS);
  }
}
