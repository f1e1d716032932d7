import type { Clock } from "../src/common/lifecycle/Clock.ts";

/** What a simulated target does with one request: its call, or how it ends. */
type RunOutcome = "ok" | "failed" | "call-failed" | "shed";

/** Share of requests that a sound target fails by itself, unless a scenario says otherwise; the users' services measure 12 in 1,000. */
const BASE_ERROR_RATE = 0.012;

/** A gray target fails a request this fast, ms. */
const GRAY_FAILURE_MS = 1;

/** Spread of work times: sigma of their logarithm. */
const WORK_TIME_SIGMA = 0.5;

/** A spell during which it fails requests, refuses them, or is slow. */
interface GrayInterval {
  readonly from: number;
  readonly until: number;
  readonly failureRate: number;
  /** Share of requests that it refuses, unrun. */
  readonly shedRate: number;
  readonly slowdown: number;
}

/** A target as burdockpass sees one: takes time, has spells, makes calls. */
export class SimTarget {
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #baseErrorRate: number;
  readonly #grayIntervals: GrayInterval[] = [];
  /** How much faster or slower than the others it is, for good. */
  readonly #workTimeFactor: number;

  constructor(clock: Clock, random: () => number, baseErrorRate = BASE_ERROR_RATE) {
    this.#clock = clock;
    this.#random = random;
    this.#baseErrorRate = baseErrorRate;
    this.#workTimeFactor = 0.85 + 0.3 * random();
  }

  /** Adds a time during which it is gray. */
  addGrayInterval(interval: GrayInterval): void {
    this.#grayIntervals.push(interval);
  }

  /** It is in no spell at any time from `from` to `until`. */
  isHealthy(from: number, until: number): boolean {
    return !this.#grayIntervals.some((i) => i.from < until && from < i.until);
  }

  /** Works on one request; `call` makes the calls that the work needs, and tells whether they went well. */
  async run(workMs: number, makeNestedCalls: () => Promise<boolean>): Promise<RunOutcome> {
    const interval = this.#currentInterval;
    if (interval && this.#random() < interval.shedRate) {
      return "shed";
    }
    if (interval && this.#random() < interval.failureRate) {
      await this.#wait(GRAY_FAILURE_MS);
      return "failed";
    }
    const ms = workMs * this.#workTimeFactor * (interval?.slowdown ?? 1) * logNormal(this.#random);
    await this.#wait(ms / 2);
    if (!(await makeNestedCalls())) {
      return "call-failed";
    }
    await this.#wait(ms / 2);
    return this.#random() < this.#baseErrorRate ? "failed" : "ok";
  }

  get #currentInterval(): GrayInterval | undefined {
    const now = this.#clock.now();
    return this.#grayIntervals.find((i) => i.from <= now && now < i.until);
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.#clock.after(ms, resolve);
    });
  }
}

/** A factor around 1 with a long tail; its mean is 1. */
function logNormal(random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(WORK_TIME_SIGMA * normal - (WORK_TIME_SIGMA * WORK_TIME_SIGMA) / 2);
}
