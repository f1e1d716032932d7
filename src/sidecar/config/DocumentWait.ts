import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";

/**
 * Maximum time for which a request is held until a document arrives, ms. Usual latency objectives are a second or
 * more, so there is time left to serve the request.
 */
const MAX_HOLD_MS = 800;

/**
 * Time after a sidecar's start during which requests are held, ms. Control replicas that were killed together with
 * the sidecar are back, and have a leader, within a second. A sidecar without a document after this time is unlikely
 * to get one soon, so requests are refused at once.
 */
const STARTUP_MS = 3000;

/** Maximum number of held requests; a sidecar receives a few dozen a second. */
const MAX_HELD = 64;

/**
 * Holds requests that reach a sidecar which has just started and has no document yet.
 * After all processes were killed, sidecars are back some hundred milliseconds before
 * control has a leader. Requests that arrived in between used to be refused, 106 to 154 of
 * some 5,000 a simulated day, though they could have been served within their objective.
 */
export class DocumentWait {
  readonly #clock: Clock;
  readonly #startedAt: number;
  readonly #held = new Set<() => void>();

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#startedAt = clock.now();
  }

  /** Resolves once there is a document, or when the request should not be held any longer. */
  wait(): Promise<void> {
    const isStarting = this.#clock.now() - this.#startedAt < STARTUP_MS;
    if (!isStarting || this.#held.size >= MAX_HELD) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer: Timer = this.#clock.timeout(MAX_HOLD_MS, () => {
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

  /** Resolves all waits, because there is a document now. */
  release(): void {
    for (const release of [...this.#held]) {
      release();
    }
  }
}
