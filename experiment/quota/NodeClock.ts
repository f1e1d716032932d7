import type { Clock } from "../../src/common/lifecycle/Clock.ts";
import type { Timer } from "../../src/common/lifecycle/Timer.ts";
import type { SimClock } from "../SimClock.ts";

/** The clocks of one simulated process, which may run fast or slow, be frozen, or end. */
export class NodeClock implements Clock {
  readonly #sim: SimClock;
  readonly #rate: number;
  #frozenUntil = -Infinity;
  /** Time during which the monotonic clock stood still, ms. */
  #suspendedMs = 0;
  #isDead = false;

  /** @param rate milliseconds that pass on this clock in a millisecond */
  constructor(sim: SimClock, rate: number) {
    this.#sim = sim;
    this.#rate = rate;
  }

  now(): number {
    return (this.#sim.now() - this.#suspendedMs) * this.#rate;
  }

  /** As {@link ElapsedClock}: counts the time of a suspension too. */
  elapsed(): number {
    return this.#sim.now() * this.#rate;
  }

  after(ms: number, callback: () => void): Timer {
    return this.#sim.after(ms / this.#rate, () => {
      this.run(callback);
    });
  }

  timeout(ms: number, callback: () => void): Timer {
    return this.after(ms, callback);
  }

  /** Runs `callback` in the process: once it is no longer frozen, and not at all if it has ended. */
  run(callback: () => void): void {
    const frozenMs = this.#frozenUntil - this.#sim.now();
    if (frozenMs > 0) {
      this.#sim.after(frozenMs, () => {
        this.run(callback);
      });
    } else if (!this.#isDead) {
      callback();
    }
  }

  /** Freezes the process for `ms`; if its whole VM is suspended, the monotonic clock stands still. */
  freeze(ms: number, isSuspended: boolean): void {
    const until = Math.max(this.#frozenUntil, this.#sim.now() + ms);
    if (isSuspended) {
      this.#suspendedMs += until - Math.max(this.#frozenUntil, this.#sim.now());
    }
    this.#frozenUntil = until;
  }

  end(): void {
    this.#isDead = true;
  }
}
