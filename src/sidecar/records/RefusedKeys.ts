/**
 * Time for which an attempt may seem younger than it is, ms: ages don't include the time in transit, which the validity
 * of a grant and the timeout of a record call limit to 250 and 400 ms.
 */
const MAX_UNCOUNTED_MS = 700;

/** Maximum number of keys; beyond it, the oldest are dropped. */
const MAX_KEYS = 10_000;

interface Refusal {
  /** When the refused attempt arrived at its first sidecar, by the clock, ms. */
  readonly startedAt: number;
  /** Until when earlier attempts may still be under way, by the clock, ms. */
  readonly until: number;
}

/**
 * Idempotency keys of refused attempts. A caller whose request is reported as not run may act on that, so an
 * earlier attempt with the same key that is still under way must not run any more. They are held in memory only: an
 * attempt lasts for seconds.
 */
export class RefusedKeys {
  readonly #now: () => number;
  readonly #refusals = new Map<string, Refusal>();

  /** @param now reads the monotonic clock, ms */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Bars the attempts that began before `startedAt`, until `until`, both in ms. */
  add(key: string, startedAt: number, until: number): void {
    const known = this.#refusals.get(key);
    // An attempt that is barred itself doesn't bar later ones: a caller that resends quickly would never be served.
    if (known && startedAt < known.startedAt + MAX_UNCOUNTED_MS) {
      return;
    }
    this.#refusals.delete(key);
    this.#refusals.set(key, { startedAt, until });
    const [oldest] = this.#refusals.keys();
    if (this.#refusals.size > MAX_KEYS && oldest !== undefined) {
      this.#refusals.delete(oldest);
    }
  }

  /** Whether an attempt that began at `startedAt`, ms, is barred. */
  bars(key: string, startedAt: number): boolean {
    const refusal = this.#refusals.get(key);
    return (
      refusal !== undefined &&
      startedAt < refusal.startedAt + MAX_UNCOUNTED_MS &&
      this.#now() < refusal.until
    );
  }

  /** Removes the keys whose earlier attempts have all ended. */
  expire(): void {
    for (const [key, { until }] of this.#refusals) {
      if (until <= this.#now()) {
        this.#refusals.delete(key);
      }
    }
  }
}
