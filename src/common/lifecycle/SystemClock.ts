import type { Clock } from "./Clock.ts";
import type { Timer } from "./Timer.ts";

/** The process's own steady clock and timers. */
export const SystemClock: Clock = {
  now: () => performance.now(),
  after(ms: number, act: () => void): Timer {
    const timer = setTimeout(act, ms);
    return {
      cancel: () => {
        clearTimeout(timer);
      },
    };
  },
};
