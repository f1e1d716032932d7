import type { Timer } from "./Timer.ts";

/**
 * A monotonic clock, independent of changes to the time of day, with timers. Every
 * deadline, lease and retention period within a process is measured with one;
 * messages between processes carry only remaining milliseconds.
 */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  now(): number;
  /** Calls `callback` once after `ms` milliseconds, unless cancelled before. */
  after(ms: number, callback: () => void): Timer;
}
