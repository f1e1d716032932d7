import type { Clock } from "../../common/lifecycle/Clock.ts";
import { DecayingScore } from "../detection/DecayingScore.ts";

/** Calls that a run makes, on average, by the names of the services called. */
export type CallMeans = ReadonlyMap<string, number>;

/** What is counted loses half of its weight in this time, ms: a few dozen runs of a busy target, a few of a quiet one. */
const HALF_LIFE_MS = 10_000;

/** Runs before the means tell much count as so many of those that make no calls. */
const PRIOR_RUNS = 1;

/** A mean below this is not worth telling. */
const MIN_MEAN = 0.02;

/**
 * Counts the calls that the targets beside this sidecar make, for each run. Whoever sends a request again has
 * its calls made again too, at services whose retry budgets it takes from: half of what went over such a budget
 * was calls that nobody had asked leave for.
 */
export class CallsPerRun {
  readonly #clock: Clock;
  readonly #runs: DecayingScore;
  readonly #calls = new Map<string, DecayingScore>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#runs = this.#createCounter();
  }

  /** Notes that a run begins. */
  recordRun(): void {
    this.#runs.add(1, Infinity);
  }

  /** Notes a request to `service` that begins here, and is a call with the chance `weight`. */
  recordCall(service: string, weight: number): void {
    let calls = this.#calls.get(service);
    if (!calls) {
      calls = this.#createCounter();
      this.#calls.set(service, calls);
    }
    calls.add(weight, Infinity);
  }

  /** What a run makes of them, on average. */
  get means(): CallMeans {
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
