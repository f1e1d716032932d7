import type { Clock } from "../../common/lifecycle/Clock.ts";
import { CallsPerRun, type MeanNestedCalls } from "./CallsPerRun.ts";

/**
 * Longest time between the end of a failed nested call and the failure of the run that depends on it, ms. The call's
 * response has to reach the target and the target's own response the sidecar, both on one VM; the rest is margin for
 * a pause of either process.
 */
const LOST_CALL_WINDOW_MS = 100;

/**
 * Window over which the idle share is measured, ms. Measured since the start of the process, a quiet start would make
 * a busy target look idle, and requests of callers, none of which arrives while it is idle, look like nested calls.
 */
const IDLE_WINDOW_MS = 10_000;

/** A nested call that was not served. */
interface LostCall {
  readonly route: string;
  /** By the monotonic clock, ms. */
  readonly startedAt: number;
  readonly endedAt: number;
}

/** A request that is or may be a nested call, when it is made. */
interface NestedCall {
  readonly route: string;
  readonly service: string;
  /** Probability that it is a nested call rather than a caller's request, 0 to 1. */
  readonly weight: number;
}

/** A run in progress. */
interface Run {
  /** Marks the run as ended. */
  end(): void;
  /**
   * Removes and returns a lost nested call that explains why the run fails now: one that was made after the run began
   * and has just ended. Each lost call explains one run only.
   */
  takeLostCall(): LostCall | undefined;
}

/** Tracks the runs in progress at the local targets, and the nested calls that they make. */
export class ActiveRuns {
  readonly #clock: Clock;
  readonly #startedAt: number;
  #count = 0;
  /** Periods with at least one run in progress that ended within the idle window. */
  #busyPeriods: { readonly from: number; readonly until: number }[] = [];
  #busySince = 0;
  /** Nested calls that have no response yet. */
  readonly #openCalls = new Set<{ readonly startedAt: number }>();
  #lostCalls: LostCall[] = [];
  readonly #callsPerRun: CallsPerRun;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#callsPerRun = new CallsPerRun(clock);
  }

  /** Number of runs in progress. */
  get count(): number {
    return this.#count;
  }

  /** Mean number of nested calls per run, by called service. */
  get callMeans(): MeanNestedCalls {
    return this.#callsPerRun.means;
  }

  /** Share of the idle window, or of the shorter time since the start, without any run in progress, 0 to 1. */
  get idleShare(): number {
    const now = this.#clock.now();
    const from = Math.max(this.#startedAt, now - IDLE_WINDOW_MS);
    this.#busyPeriods = this.#busyPeriods.filter((b) => b.until > from);
    const ongoing = this.#count > 0 ? [{ from: this.#busySince, until: now }] : [];
    const busyMs = [...this.#busyPeriods, ...ongoing].reduce(
      (sum, b) => sum + b.until - Math.max(from, b.from),
      0,
    );
    return now > from ? 1 - busyMs / (now - from) : 1;
  }

  /** Records the start of a run. */
  begin(): Run {
    const startedAt = this.#clock.now();
    if (this.#count === 0) {
      this.#busySince = startedAt;
    }
    this.#count += 1;
    this.#callsPerRun.recordRun();
    return {
      end: () => {
        this.#count -= 1;
        if (this.#count === 0) {
          this.#busyPeriods.push({ from: this.#busySince, until: this.#clock.now() });
        }
      },
      takeLostCall: () => this.#takeLostCall(startedAt),
    };
  }

  /** Records the start of a nested call; the returned function records its end. */
  beginCall({ route, service, weight }: NestedCall): (wasServed: boolean) => void {
    const call = { startedAt: this.#clock.now() };
    this.#openCalls.add(call);
    this.#callsPerRun.recordCall(service, weight);
    return (wasServed) => {
      this.#openCalls.delete(call);
      if (!wasServed) {
        this.#recordLostCall({ route, ...call, endedAt: this.#clock.now() });
      }
    };
  }

  /** Whether a nested call made at or after `since` (ms) is open: a run that began then may be waiting for it. */
  hasOpenNestedCall(since: number): boolean {
    return [...this.#openCalls].some((call) => call.startedAt >= since);
  }

  #recordLostCall(call: LostCall): void {
    const cutoff = this.#clock.now() - LOST_CALL_WINDOW_MS;
    this.#lostCalls = this.#lostCalls.filter((c) => c.endedAt >= cutoff);
    this.#lostCalls.push(call);
  }

  #takeLostCall(startedAt: number): LostCall | undefined {
    const cutoff = this.#clock.now() - LOST_CALL_WINDOW_MS;
    const index = this.#lostCalls.findIndex((c) => c.startedAt >= startedAt && c.endedAt >= cutoff);
    return index < 0 ? undefined : this.#lostCalls.splice(index, 1)[0];
  }
}
