import type { GrantId } from "../../common/ids/GrantId.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";

/**
 * Time within which a sender that is alive asks for a result over a new connection, ms: it takes a silent connection
 * for lost after 750 ms, tries a new one every 500 ms, and opening that takes a round trip.
 */
const REATTACH_WINDOW_MS = 1500;

/**
 * Tracks the runs whose result could not be sent because the sender's connection was closed. While the sender may still
 * reattach, a stopping sidecar must not exit: no other process has the result.
 */
export class UnsentResults {
  readonly #clock: Clock;
  /** Until when the sender of a run may reattach, by the clock, ms; the earliest first. */
  readonly #until = new Map<GrantId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that the connection of the sender of a run was closed, or that its run has ended since. */
  add(grant: GrantId): void {
    this.#sweep();
    this.#until.delete(grant);
    this.#until.set(grant, this.#clock.now() + REATTACH_WINDOW_MS);
  }

  /** Records that the result of a run has been sent. */
  remove(grant: GrantId): void {
    this.#until.delete(grant);
  }

  /** Whether the sender of any run may still reattach. */
  get isAwaited(): boolean {
    this.#sweep();
    return this.#until.size > 0;
  }

  #sweep(): void {
    const now = this.#clock.now();
    for (const [grant, until] of this.#until) {
      if (now < until) {
        return;
      }
      this.#until.delete(grant);
    }
  }
}
