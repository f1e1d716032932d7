import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { RefusalBackoff } from "./RefusalBackoff.ts";
import { RequestRateLimit } from "./RequestRateLimit.ts";

interface GrantPacerDeps {
  readonly clock: Clock;
  /** Number of granted requests that have not been sent to the target. */
  readonly pending: () => number;
}

/** Decides when a target with a free slot is granted the next request. */
export class GrantPacer {
  readonly #deps: GrantPacerDeps;
  readonly #backoff: RefusalBackoff;
  /** The wait for the next grant that is in progress, and its end by the clock, ms. */
  #wait: { readonly until: number; readonly timer: Timer } | undefined;
  /** The limit that the target names. */
  readonly limit: RequestRateLimit;

  constructor(deps: GrantPacerDeps) {
    this.#deps = deps;
    this.#backoff = new RefusalBackoff(deps.clock);
    this.limit = new RequestRateLimit(deps.clock);
  }

  /** Time until the next request may be granted, ms; 0 if that is now. */
  get waitMs(): number {
    return Math.max(this.#backoff.waitMs, this.limitWaitMs);
  }

  /** The same by the limit that the target names alone, ms. */
  get limitWaitMs(): number {
    return this.limit.waitMs(this.#deps.pending());
  }

  /** Records that a slot was granted, whose request follows. */
  recordGrant(): void {
    this.#backoff.recordGrant();
  }

  /** Records that a request is sent to the target. */
  recordStart(): void {
    this.#backoff.recordStart();
    this.limit.recordStart();
  }

  /** Records that the target has refused a request. */
  recordRefusal(): void {
    this.#backoff.recordRefusal();
  }

  /** Records that the target has accepted a request. */
  recordAccepted(): void {
    this.#backoff.recordAccepted();
  }

  /** Calls `resume` once the next request may be granted, unless that is now or an earlier call is scheduled. */
  resumeWhenDue(resume: () => void): void {
    const { waitMs } = this;
    const until = this.#deps.clock.now() + waitMs;
    if (waitMs === 0 || (this.#wait && this.#wait.until <= until)) {
      return;
    }
    this.#wait?.timer.cancel();
    const timer = this.#deps.clock.after(waitMs, () => {
      this.#wait = undefined;
      resume();
    });
    this.#wait = { until, timer };
  }
}
