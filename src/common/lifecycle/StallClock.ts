import { Disposable } from "./Disposable.ts";
import { every } from "./every.ts";

/** Interval of the timer whose lateness is measured, ms. */
const TICK_MS = 10;

/** Lateness up to this is ordinary timer jitter, ms. */
const JITTER_MS = 5;

/**
 * Measures the total time for which this process was stalled (garbage collection, a
 * busy machine, a freeze), detected by timers that fire late. A latency measured
 * across a stall is caused by this process, not by the target; without this
 * correction, one stall makes every target look slow at the same time.
 */
export class StallClock extends Disposable {
  readonly #now: () => number;
  #stalledMs = 0;
  #lastTickAt: number;

  /** `now` reads a monotonic clock, ms. */
  constructor(now: () => number) {
    super();
    this.#now = now;
    this.#lastTickAt = now();
  }

  /** Starts measuring, until disposed. */
  start(): void {
    this.register(
      every(TICK_MS, () => {
        this.tick();
      }),
    );
  }

  /** Records one firing of the timer. */
  tick(): void {
    const now = this.#now();
    const lateMs = now - this.#lastTickAt - TICK_MS;
    if (lateMs > JITTER_MS) {
      this.#stalledMs += lateMs;
    }
    this.#lastTickAt = now;
  }

  /** Total time stalled since the start, ms; includes a stall that is still going on. */
  get totalMs(): number {
    // A current stall: the tick that will record it has not fired yet.
    const pendingMs = this.#now() - this.#lastTickAt - TICK_MS;
    return this.#stalledMs + (pendingMs > JITTER_MS ? pendingMs : 0);
  }
}
