import type { Clock } from "../../common/lifecycle/Clock.ts";

/** The runs under way at the targets beside this sidecar. */
export class RunsHere {
  readonly #clock: Clock;
  readonly #startedAt: number;
  #count = 0;
  #repeats = 0;
  /** Time with no run under way, until the one that began last after such a time, ms. */
  #idleMs = 0;
  #idleSince: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#idleSince = this.#startedAt;
  }

  /** How many there are. */
  get count(): number {
    return this.#count;
  }

  /** How many of them are of requests that had been sent to a target before. */
  get repeats(): number {
    return this.#repeats;
  }

  /** Share of the time since the start of this process in which there was none. */
  get idleShare(): number {
    const now = this.#clock.now();
    const idleMs = this.#idleMs + (this.#count === 0 ? now - this.#idleSince : 0);
    return idleMs / Math.max(1, now - this.#startedAt);
  }

  /** Notes that one begins; returns what to call when it has ended. */
  begin(isRepeat: boolean): () => void {
    if (this.#count === 0) {
      this.#idleMs += this.#clock.now() - this.#idleSince;
    }
    this.#count += 1;
    this.#repeats += isRepeat ? 1 : 0;
    return () => {
      this.#count -= 1;
      this.#repeats -= isRepeat ? 1 : 0;
      if (this.#count === 0) {
        this.#idleSince = this.#clock.now();
      }
    };
  }
}
