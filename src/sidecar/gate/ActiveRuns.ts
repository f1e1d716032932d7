import type { Clock } from "../../common/lifecycle/Clock.ts";
import { CallsPerRun, type CallMeans } from "./CallsPerRun.ts";

/**
 * A target that cannot do without a call fails its run this soon after the call's answer, ms: the answer has
 * to reach it, and its own the sidecar, both on one VM, with time for a pause of either process.
 */
const LOST_CALL_WINDOW_MS = 100;

/**
 * How far back the share of idle time looks, ms. Over the whole life of a process a quiet start makes a busy target
 * look idle, and callers' requests, of which none meets it idle, like calls.
 */
const IDLE_WINDOW_MS = 10_000;

/** A call that a target made in the midst of its work, and that was not served. */
interface LostCall {
  readonly route: string;
  /** By the steady clock, ms. */
  readonly startedAt: number;
  readonly endedAt: number;
}

/** What is known of a call when it is made. */
interface NestedCall {
  readonly route: string;
  readonly service: string;
  /** Chance that it is a call, and not a caller's request. */
  readonly weight: number;
}

/** A run under way. */
interface Run {
  /** It has ended. */
  end(): void;
  /**
   * The call whose loss explains that the run fails now: it was made after the run began, and has just
   * ended. Each explains one run, and is not told again.
   */
  takeLostCall(): LostCall | undefined;
}

/** The runs under way at the targets beside this sidecar, and the calls that these make. */
export class ActiveRuns {
  readonly #clock: Clock;
  readonly #startedAt: number;
  #count = 0;
  /** Times with a run under way, ended within the window. */
  #busyPeriods: { readonly from: number; readonly until: number }[] = [];
  #busySince = 0;
  /** When each call that waits for its answer was made. */
  readonly #openCalls = new Set<{ readonly startedAt: number }>();
  #lostCalls: LostCall[] = [];
  readonly #callsPerRun: CallsPerRun;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#callsPerRun = new CallsPerRun(clock);
  }

  /** How many there are. */
  get count(): number {
    return this.#count;
  }

  /** Calls that a run makes here, on average. */
  get callMeans(): CallMeans {
    return this.#callsPerRun.means;
  }

  /** Share of the last seconds, as far as this process has been there, in which there was none. */
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

  /** Notes that one begins. */
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

  /** Notes that a call begins; returns what to call when it has ended. */
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

  /** Whether a call made since `since` waits for its answer: a run that began then may be waiting with it. */
  hasOpenCall(since: number): boolean {
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
