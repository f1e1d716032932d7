import { Disposable } from "./Disposable.ts";
import { every } from "./every.ts";

interface StallTiming {
  /** Interval of the timer whose lateness is measured, ms. */
  readonly tickMs: number;
  /** Lateness up to this is ordinary timer jitter, ms. */
  readonly jitterMs: number;
}

/** Timing for stalls that are long compared with the intervals of announcements and heartbeats. */
const DEFAULT_TIMING: StallTiming = { tickMs: 250, jitterMs: 250 };

/**
 * Measures the total time for which this process was stalled (garbage collection, a
 * busy machine, a freeze), detected by timers that fire late. What arrived during a stall
 * has not been read, so a silence measured across it is this process's own.
 */
export class StallClock extends Disposable {
  readonly #now: () => number;
  readonly #timing: StallTiming;
  #stalledMs = 0;
  #lastTickAt: number;

  /** `now` reads a monotonic clock, ms. */
  constructor(now: () => number, timing = DEFAULT_TIMING) {
    super();
    this.#now = now;
    this.#timing = timing;
    this.#lastTickAt = now();
  }

  /** Starts measuring, until disposed. */
  start(): void {
    this.register(
      every(this.#timing.tickMs, () => {
        this.tick();
      }),
    );
  }

  /** Records one firing of the timer. */
  tick(): void {
    this.#stalledMs = this.totalMs;
    this.#lastTickAt = this.#now();
  }

  /** Total time stalled since the start, ms; includes a stall that is still going on. */
  get totalMs(): number {
    // A current stall: the tick that will record it has not fired yet.
    const lateMs = this.#now() - this.#lastTickAt - this.#timing.tickMs;
    return this.#stalledMs + (lateMs > this.#timing.jitterMs ? lateMs : 0);
  }
}
