import { Disposable } from "./Disposable.ts";
import { every } from "./every.ts";

/** How often the clock looks for a late timer, ms. */
const TICK_MS = 10;

/** Lateness below this is ordinary timer jitter, ms. */
const JITTER_MS = 5;

/**
 * Adds up the time this process stood still (garbage collection, a busy
 * machine, a freeze), seen as timers that fire late. Latencies measured across
 * a stall are this process's fault, not the target's; without this, one
 * stall here makes every target look slow at the same moment.
 */
export class StallClock extends Disposable {
  readonly #now: () => number;
  #total = 0;
  #last: number;

  /** `now` is a monotonic clock, ms. */
  constructor(now: () => number) {
    super();
    this.#now = now;
    this.#last = now();
  }

  /** Starts watching until disposed. */
  start(): void {
    this.register(
      every(TICK_MS, () => {
        this.tick();
      }),
    );
  }

  /** Notes one timer firing. */
  tick(): void {
    const now = this.#now();
    const late = now - this.#last - TICK_MS;
    if (late > JITTER_MS) {
      this.#total += late;
    }
    this.#last = now;
  }

  /** Time stalled since the start, up to this moment, ms. */
  get totalMs(): number {
    // A stall that is still going on: the tick that would book it has not fired yet.
    const pending = this.#now() - this.#last - TICK_MS;
    return this.#total + (pending > JITTER_MS ? pending : 0);
  }
}
