import { afterPendingInput } from "./afterPendingInput.ts";
import type { LateTimeout } from "./LateTimeout.ts";
import type { Timer } from "./Timer.ts";

/** Lateness from which a timeout is reported, ms. */
const LATE_MS = 50;

/** A timeout for input, as {@link Clock.timeout} describes it. */
export class InputTimeout implements Timer {
  readonly #dueAt: number;
  readonly #timer: NodeJS.Timeout;
  readonly #callback: () => void;
  readonly #onLate: (late: LateTimeout) => void;
  /** Set from when the timeout is due until the pending input has been processed. */
  #drain: Timer | undefined;

  /** @param onLate called when the timeout ends late */
  constructor(ms: number, callback: () => void, onLate: (late: LateTimeout) => void) {
    this.#dueAt = performance.now() + Math.max(0, ms);
    this.#callback = callback;
    this.#onLate = onLate;
    this.#timer = setTimeout(() => {
      this.#drain = afterPendingInput(() => {
        this.#end(false);
        this.#callback();
      });
    }, ms);
  }

  cancel(): void {
    clearTimeout(this.#timer);
    if (this.#drain) {
      this.#drain.cancel();
      this.#end(true);
    }
  }

  #end(isAnswered: boolean): void {
    this.#drain = undefined;
    const lateMs = performance.now() - this.#dueAt;
    if (lateMs >= LATE_MS) {
      this.#onLate({ lateMs, isAnswered });
    }
  }
}
