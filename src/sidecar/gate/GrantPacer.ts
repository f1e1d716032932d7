import type { Clock } from "../../common/lifecycle/Clock.ts";
import { RefusalBackoff } from "./RefusalBackoff.ts";

/** Decides when a target with a free slot is granted the next request. */
export class GrantPacer {
  readonly #clock: Clock;
  readonly #backoff: RefusalBackoff;
  /** A wait for the next grant is in progress. */
  #isWaiting = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#backoff = new RefusalBackoff(clock);
  }

  /** Time until the next request may be granted, ms; 0 if that is now. */
  get waitMs(): number {
    return this.#backoff.waitMs;
  }

  /** Records that a slot was granted, whose request follows. */
  recordGrant(): void {
    this.#backoff.recordGrant();
  }

  /** Records that a request is sent to the target. */
  recordStart(): void {
    this.#backoff.recordStart();
  }

  /** Records that the target has refused a request. */
  recordRefusal(): void {
    this.#backoff.recordRefusal();
  }

  /** Records that the target has accepted a request. */
  recordAccepted(): void {
    this.#backoff.recordAccepted();
  }

  /** Calls `resume` once the next request may be granted, unless that is now or a call is already scheduled. */
  resumeWhenDue(resume: () => void): void {
    const { waitMs } = this;
    if (this.#isWaiting || waitMs === 0) {
      return;
    }
    this.#isWaiting = true;
    this.#clock.after(waitMs, () => {
      this.#isWaiting = false;
      resume();
    });
  }
}
