import type { Clock } from "./Clock.ts";
import { InputTimeout } from "./InputTimeout.ts";
import type { LateTimeout } from "./LateTimeout.ts";
import type { Timer } from "./Timer.ts";

type LateTimeoutListener = (late: LateTimeout) => void;

class MonotonicClock implements Clock {
  readonly #listeners = new Set<LateTimeoutListener>();

  now(): number {
    return performance.now();
  }

  after(ms: number, callback: () => void): Timer {
    const timer = setTimeout(callback, ms);
    return {
      cancel: () => {
        clearTimeout(timer);
      },
    };
  }

  timeout(ms: number, callback: () => void): Timer {
    return new InputTimeout(ms, callback, this.#onLate);
  }

  /** Calls `listener` when a timeout ends late because the event loop was blocked; returns the function that stops that. */
  onLateTimeout(listener: LateTimeoutListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  readonly #onLate = (late: LateTimeout): void => {
    this.#listeners.forEach((listener) => {
      listener(late);
    });
  };
}

/** The monotonic clock and timers of the Node process. */
export const SystemClock = new MonotonicClock();
