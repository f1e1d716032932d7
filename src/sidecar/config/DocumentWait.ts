import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";

/**
 * Longest that a request is held for a document, ms: within usual objectives of a second and more, with
 * time left to serve it.
 */
const HOLD_MS = 800;

/**
 * A sidecar that has no document this long after its start is not about to get one, ms: replicas
 * that were killed with it are back, and have a leader, within a second. Requests are refused at once then.
 */
const STARTING_MS = 3000;

/** Requests held at a time, at most: a sidecar takes a few dozen a second. */
const MAX_HELD = 64;

/**
 * Holds requests that reach a sidecar which has just started, and has no document yet.
 * After all processes were killed, sidecars are back some hundred milliseconds before
 * control has a leader; what came in between was refused, 106 to 154 requests a played
 * day of some 5,000, though it could have been served within its objective.
 */
export class DocumentWait {
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #held = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
  }

  /** Resolves once there is a document, or when it is no use to wait for one any longer. */
  wait(): Promise<void> {
    const isStarting = this.#clock.now() - this.#startedAt < STARTING_MS;
    if (!isStarting || this.#held.size >= MAX_HELD) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer: Timer = this.#clock.after(HOLD_MS, () => {
        release();
      });
      const release = () => {
        timer.cancel();
        this.#held.delete(release);
        resolve();
      };
      this.#held.add(release);
    });
  }

  /** There is a document: lets go of all requests that wait for it. */
  release(): void {
    for (const release of [...this.#held]) {
      release();
    }
  }
}
