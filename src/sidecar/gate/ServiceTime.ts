import type { SlotRequest } from "../hop/SlotRequest.ts";
import { runAllowanceMs } from "./runAllowanceMs.ts";

/** Smoothing factor of the mean service time, an exponential moving average over about the last ten runs. */
const SMOOTHING = 0.1;

/** Mean service time assumed before any request has run, ms. */
const INITIAL_MS = 300;

/** Estimates how long runs at a gate's target take, from the runs that have ended. */
export class ServiceTime {
  #meanMs = INITIAL_MS;

  /** Mean time for which a run uses its slot, ms. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Records that a run has used its slot for `ms`. */
  record(ms: number): void {
    this.#meanMs += SMOOTHING * (ms - this.#meanMs);
  }

  /** Typical time of a run of the request, or the mean service time if that is unknown, ms. */
  typicalMs({ typicalMs }: Pick<SlotRequest, "typicalMs">): number {
    return typicalMs > 0 ? typicalMs : this.#meanMs;
  }

  /** Time to reserve for a run before this sidecar exits, ms; at most until its deadline, when it ends anyway. */
  allowanceMs(request: SlotRequest): number {
    return Math.min(
      request.remainingMs,
      runAllowanceMs(this.typicalMs(request), request.isRetryable),
    );
  }
}
