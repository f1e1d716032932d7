import type { Timer } from "./Timer.ts";

/**
 * Time as a process experiences it: a steady clock that the time of day cannot
 * move, and timers on it. Every deadline, lease and retention inside a process is
 * measured on one; between processes only remaining milliseconds travel.
 */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  now(): number;
  /** Calls `act` once after `ms`, unless cancelled before. */
  after(ms: number, act: () => void): Timer;
}
