import type bunyan from "bunyan";
import type { IDisposable } from "./IDisposable.ts";
import { SystemClock } from "./SystemClock.ts";
import type { Timer } from "./Timer.ts";

/** Interval over which late timeouts are reported in one log line, ms. */
const REPORT_INTERVAL_MS = 1000;

/** Counts the timeouts of this process that end late, and logs them, at most once a second. */
export class LateTimeoutReport implements IDisposable {
  readonly #log: bunyan;
  readonly #onLate: (isAnswered: boolean) => void;
  readonly #stopListening: () => void;
  #timer: Timer | undefined;
  #maxLateMs = 0;
  #expired = 0;
  #answered = 0;

  /** @param onLate called for each with whether the awaited input had arrived */
  constructor(log: bunyan, onLate: (isAnswered: boolean) => void = () => undefined) {
    this.#log = log;
    this.#onLate = onLate;
    this.#stopListening = SystemClock.onLateTimeout(({ lateMs, isAnswered }) => {
      this.#add(lateMs, isAnswered);
    });
  }

  dispose(): void {
    this.#stopListening();
    this.#timer?.cancel();
  }

  #add(lateMs: number, isAnswered: boolean): void {
    this.#timer ??= SystemClock.after(REPORT_INTERVAL_MS, () => {
      this.#flush();
    });
    this.#maxLateMs = Math.max(this.#maxLateMs, lateMs);
    this.#expired += isAnswered ? 0 : 1;
    this.#answered += isAnswered ? 1 : 0;
    this.#onLate(isAnswered);
  }

  #flush(): void {
    this.#timer = undefined;
    const maxLateMs = Math.round(this.#maxLateMs);
    const [expired, answered] = [this.#expired, this.#answered];
    this.#maxLateMs = this.#expired = this.#answered = 0;
    this.#log.info({ maxLateMs, expired, answered }, "event loop was blocked");
  }
}
