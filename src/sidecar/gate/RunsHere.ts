import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * A target that cannot do without a call fails its run this soon after the call's answer, ms: the answer has
 * to reach it, and its own the sidecar, both on one VM, with time for a pause of either process.
 */
const AFTERMATH_MS = 100;

/** A call that a target made in the midst of its work, and that was not served. */
interface LostCall {
  readonly route: string;
  /** By the steady clock, ms. */
  readonly startedAt: number;
  readonly endedAt: number;
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
export class RunsHere {
  readonly #clock: Clock;
  readonly #startedAt: number;
  #count = 0;
  #repeats = 0;
  /** Time with no run under way, until the one that began last after such a time, ms. */
  #idleMs = 0;
  #idleSince: number;
  /** When each call that waits for its answer was made. */
  readonly #openCalls = new Set<{ readonly startedAt: number }>();
  #lostCalls: LostCall[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#idleSince = this.#startedAt;
  }

  /** How many there are. */
  get count(): number {
    return this.#count;
  }

  /** How many of them are of requests that had been sent to a target before. */
  get repeats(): number {
    return this.#repeats;
  }

  /** Share of the time since the start of this process in which there was none. */
  get idleShare(): number {
    const now = this.#clock.now();
    const idleMs = this.#idleMs + (this.#count === 0 ? now - this.#idleSince : 0);
    return idleMs / Math.max(1, now - this.#startedAt);
  }

  /** Notes that one begins. */
  begin(isRepeat: boolean): Run {
    if (this.#count === 0) {
      this.#idleMs += this.#clock.now() - this.#idleSince;
    }
    this.#count += 1;
    this.#repeats += isRepeat ? 1 : 0;
    const startedAt = this.#clock.now();
    return {
      end: () => {
        this.#count -= 1;
        this.#repeats -= isRepeat ? 1 : 0;
        if (this.#count === 0) {
          this.#idleSince = this.#clock.now();
        }
      },
      takeLostCall: () => this.#takeLostCall(startedAt),
    };
  }

  /** Notes that a call on `route` begins; returns what to call when it has ended. */
  beginCall(route: string): (wasServed: boolean) => void {
    const call = { startedAt: this.#clock.now() };
    this.#openCalls.add(call);
    return (wasServed) => {
      this.#openCalls.delete(call);
      if (!wasServed) {
        this.#noteLostCall({ route, ...call, endedAt: this.#clock.now() });
      }
    };
  }

  /** Whether a call made since `since` waits for its answer: a run that began then may be waiting with it. */
  hasOpenCall(since: number): boolean {
    return [...this.#openCalls].some((call) => call.startedAt >= since);
  }

  #noteLostCall(call: LostCall): void {
    const cutoff = this.#clock.now() - AFTERMATH_MS;
    this.#lostCalls = this.#lostCalls.filter((c) => c.endedAt >= cutoff);
    this.#lostCalls.push(call);
  }

  #takeLostCall(startedAt: number): LostCall | undefined {
    const cutoff = this.#clock.now() - AFTERMATH_MS;
    const at = this.#lostCalls.findIndex((c) => c.startedAt >= startedAt && c.endedAt >= cutoff);
    return at < 0 ? undefined : this.#lostCalls.splice(at, 1)[0];
  }
}
