import type { Clock } from "../../common/lifecycle/Clock.ts";
import { SlidingWindowSum } from "./SlidingWindowSum.ts";

/** Window over which the share is measured, ms. */
const WINDOW_MS = 2000;

/** Measures the share of each service's requests that this sidecar could not get served. */
export class UnservedShares {
  readonly #clock: Clock;
  readonly #counts = new Map<string, { all: SlidingWindowSum; unserved: SlidingWindowSum }>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records that a request has its final result. */
  record(service: string, isServed: boolean): void {
    const now = this.#clock.now();
    let counts = this.#counts.get(service);
    if (!counts) {
      counts = {
        all: new SlidingWindowSum(WINDOW_MS),
        unserved: new SlidingWindowSum(WINDOW_MS),
      };
      this.#counts.set(service, counts);
    }
    counts.all.add(1, now);
    counts.unserved.add(isServed ? 0 : 1, now);
  }

  /** Share of the service's recent requests that were not served, 0 to 1; 0 if there were none. */
  of(service: string): number {
    const now = this.#clock.now();
    const counts = this.#counts.get(service);
    const all = counts?.all.valueAt(now) ?? 0;
    return counts && all > 0 ? counts.unserved.valueAt(now) / all : 0;
  }
}
