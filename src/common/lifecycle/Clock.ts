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
  /**
   * Calls `callback` once when the input awaited for `ms` milliseconds has not arrived, unless cancelled before. Input
   * that the kernel had received by then is processed first: timers of an event loop that was blocked are due before it
   * reads its sockets, so with {@link after} a reply that arrived in time would count as missing.
   */
  timeout(ms: number, callback: () => void): Timer;
}
