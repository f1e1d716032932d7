import type { Clock } from "../../../common/lifecycle/Clock.ts";

/** Time for which the id of a lease is remembered, ms: much longer than any term. */
const RETENTION_MS = 600_000;

/**
 * The ids of the leases that this process has received. A voter repeats a lease whose reply seems to be lost, with the
 * level that it began with; a process that has used it before, and has forgotten it since, must not begin it again.
 */
export class KnownLeases {
  readonly #clock: Clock;
  /** Time at which each id was last received, ms, oldest first. */
  readonly #receivedAt = new Map<number, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes a lease that was granted or renewed; false if it is known already. */
  note(id: number): boolean {
    const now = this.#clock.now();
    for (const [known, at] of this.#receivedAt) {
      if (at > now - RETENTION_MS) {
        break;
      }
      this.#receivedAt.delete(known);
    }
    const isNew = !this.#receivedAt.delete(id);
    this.#receivedAt.set(id, now);
    return isNew;
  }
}
