import type { Clock } from "./Clock.ts";
import type { Timer } from "./Timer.ts";

/** The monotonic clock and timers of the Node process. */
export const SystemClock: Clock = {
  now: () => performance.now(),
  after(ms: number, callback: () => void): Timer {
    const timer = setTimeout(callback, ms);
    return {
      cancel: () => {
        clearTimeout(timer);
      },
    };
  },
};
