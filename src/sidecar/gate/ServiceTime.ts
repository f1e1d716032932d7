import type { SlotRequest } from "../hop/SlotRequest.ts";
import { LongestDuration } from "./LongestDuration.ts";
import { LONG_RUN_FACTOR } from "./LONG_RUN_FACTOR.ts";
import { runAllowanceMs } from "./runAllowanceMs.ts";

/** Smoothing factor of the mean service time, an exponential moving average over about the last ten runs. */
const SMOOTHING = 0.1;

/** Mean service time assumed before any request has run, ms. */
const INITIAL_MS = 300;

/** Estimates how long runs at a gate's target take, from the runs that have ended. */
export class ServiceTime {
  #meanMs = INITIAL_MS;
  readonly #repeatable = new LongestDuration();
  readonly #unrepeatable = new LongestDuration();
  /** Durations of runs to the ends of their streamed responses. Each run adds a 0, so that old streams leave the window. */
  readonly #streams = new LongestDuration();

  /** Mean time for which a run uses its slot, ms. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Records that a request has used its slot for `ms`. */
  record(ms: number): void {
    this.#meanMs += SMOOTHING * (ms - this.#meanMs);
  }

  /** Records that a run of the request has taken `ms`; the target did not refuse it. */
  recordRun(ms: number, { isIdempotent }: Pick<SlotRequest, "isIdempotent">): void {
    this.#longestOf(isIdempotent).add(ms);
    this.#streams.add(0);
  }

  /** Records that a streamed response has ended `ms` after its run began. */
  recordStream(ms: number): void {
    this.#streams.add(ms);
  }

  /** Typical time of a run of the request, or the mean service time if that is unknown, ms. */
  typicalMs({ typicalMs }: Pick<SlotRequest, "typicalMs">): number {
    return typicalMs > 0 ? typicalMs : this.#meanMs;
  }

  /**
   * Time to reserve for a run before this sidecar exits, ms; at most until its deadline, when it ends anyway. A run that
   * cannot be retried needs the time of a long one, since the exit would leave its outcome unknown. Any run may have a
   * streamed response, which cannot be retried either once its start has been passed on.
   */
  allowanceMs(request: SlotRequest): number {
    const { remainingMs, isRetryable } = request;
    const typicalMs = runAllowanceMs(this.typicalMs(request), isRetryable);
    const longMs = isRetryable ? 0 : this.#longMs(request);
    return Math.min(remainingMs, Math.max(typicalMs, longMs, this.#streams.upperMs(0)));
  }

  /** Duration of a long run, ms; while few have ended, a multiple of the typical time for work that must not be repeated. */
  #longMs(request: SlotRequest): number {
    const { isIdempotent } = request;
    const assumedMs = LONG_RUN_FACTOR * runAllowanceMs(this.typicalMs(request), false);
    return this.#longestOf(isIdempotent).upperMs(isIdempotent ? 0 : assumedMs);
  }

  #longestOf(isIdempotent: boolean): LongestDuration {
    return isIdempotent ? this.#repeatable : this.#unrepeatable;
  }
}
