import type { WorkTimes } from "./Scenario.ts";
import type { Clock } from "../src/common/lifecycle/Clock.ts";

/**
 * How a run at a simulated target ends: `call-failed` if one of its nested calls was not served, `unreachable` if the
 * target's process is down, `lost` if the process ends during the run,
 * `cancelled` if its sender has given it up.
 */
type RunOutcome = "ok" | "failed" | "call-failed" | "shed" | "unreachable" | "lost" | "cancelled";

/** Default share of requests that a healthy target fails; the users' services measure 12 in 1,000. */
const BASE_ERROR_RATE = 0.012;

/** Time after which a gray target fails a request, ms. */
const GRAY_FAILURE_MS = 1;

/** Work times as measured at the users' services. */
const MEASURED: WorkTimes = { sigma: 0.5, maxFactor: Infinity };

/** A period in which the target fails requests, sheds them, or is slow; times in ms. */
interface GrayInterval {
  readonly from: number;
  readonly until: number;
  readonly failureRate: number;
  /** Share of requests that the target refuses without running them. */
  readonly shedRate: number;
  readonly slowdown: number;
}

/** A period in which the target names a limit; times in ms. */
interface LimitInterval {
  readonly from: number;
  readonly until: number;
  /** Requests a second. */
  readonly perS: number;
}

/** A simulated target: runs take time, make nested calls, and may fail, more so in gray intervals. */
export class SimTarget {
  readonly #clock: Clock;
  readonly #random: () => number;
  readonly #baseErrorRate: number;
  readonly #workTimes: WorkTimes;
  readonly #grayIntervals: GrayInterval[] = [];
  readonly #limits: LimitInterval[] = [];
  /** Constant factor on this target's work times, which differs between targets. */
  readonly #workTimeFactor: number;
  /** Times at which the process was down, ms. */
  readonly #downIntervals: { readonly from: number; readonly until: number }[] = [];
  /** Times at which runs failed, ms. */
  readonly #failures: number[] = [];
  /** Ends the runs in progress when the process crashes. */
  readonly #activeRuns = new Set<() => void>();

  constructor(
    clock: Clock,
    random: () => number,
    baseErrorRate = BASE_ERROR_RATE,
    workTimes = MEASURED,
  ) {
    this.#workTimes = workTimes;
    this.#clock = clock;
    this.#random = random;
    this.#baseErrorRate = baseErrorRate;
    this.#workTimeFactor = 0.85 + 0.3 * random();
  }

  /** Adds a period in which the target is gray. */
  addGrayInterval(interval: GrayInterval): void {
    this.#grayIntervals.push(interval);
  }

  /** Adds a period in which the target names a limit. */
  addLimit(limit: LimitInterval): void {
    this.#limits.push(limit);
  }

  /** The limit that it names now, requests a second; undefined if it names none. */
  get limitPerS(): number | undefined {
    const now = this.#clock.now();
    return this.#limits.find((l) => l.from <= now && now < l.until)?.perS;
  }

  /** Ends the process for `downMs`; the runs in progress are lost. */
  crash(downMs: number): void {
    const from = this.#clock.now();
    this.#downIntervals.push({ from, until: from + downMs });
    this.#activeRuns.forEach((end) => {
      end();
    });
  }

  get isDown(): boolean {
    const now = this.#clock.now();
    return this.#downIntervals.some((i) => i.from <= now && now < i.until);
  }

  /** Whether the target is up, and in no gray interval, from `from` to `until`, ms. */
  isHealthy(from: number, until: number): boolean {
    const intervals = [...this.#grayIntervals, ...this.#downIntervals];
    return !intervals.some((i) => i.from < until && from < i.until);
  }

  /** Whether a run failed from `from` to `until`, ms. */
  hasFailedRun(from: number, until: number): boolean {
    return this.#failures.some((at) => from <= at && at < until);
  }

  /**
   * Runs one request.
   *
   * @param makeNestedCalls called halfway through the work; resolves to whether all calls were served
   * @param cancelled aborted when the sender gives the run up
   */
  async run(
    workMs: number,
    makeNestedCalls: () => Promise<boolean>,
    cancelled?: AbortSignal,
  ): Promise<RunOutcome> {
    if (this.isDown) {
      return "unreachable";
    }
    return new Promise((resolve) => {
      const end = (outcome: RunOutcome) => {
        this.#activeRuns.delete(lose);
        if (outcome === "failed" || outcome === "call-failed") {
          this.#failures.push(this.#clock.now());
        }
        resolve(outcome);
      };
      const lose = () => {
        end("lost");
      };
      this.#activeRuns.add(lose);
      cancelled?.addEventListener("abort", () => {
        end("cancelled");
      });
      void this.#work(workMs, makeNestedCalls).then(end);
    });
  }

  async #work(workMs: number, makeNestedCalls: () => Promise<boolean>): Promise<RunOutcome> {
    const interval = this.#currentInterval;
    if (interval && this.#random() < interval.shedRate) {
      return "shed";
    }
    if (interval && this.#random() < interval.failureRate) {
      await this.#wait(GRAY_FAILURE_MS);
      return "failed";
    }
    const { sigma, maxFactor } = this.#workTimes;
    const factor = this.#workTimeFactor * logNormal(this.#random, sigma);
    const ms = workMs * Math.min(maxFactor, factor) * (interval?.slowdown ?? 1);
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

/** A log-normally distributed factor with mean 1. */
function logNormal(random: () => number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.exp(sigma * normal - (sigma * sigma) / 2);
}
