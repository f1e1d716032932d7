/** A waiter looks again after this long even when nothing ended: a rotation may have changed, ms. */
const RECHECK_MS = 20;

/**
 * Requests waiting for room at some target, first come first served. Each
 * ended attempt wakes one.
 */
export class RoomWaiters {
  readonly #waiting: (() => void)[] = [];

  /** Resolves when an attempt has ended, or after {@link RECHECK_MS}. */
  wait(): Promise<void> {
    return new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        const at = this.#waiting.indexOf(wake);
        if (at >= 0) {
          this.#waiting.splice(at, 1);
        }
        resolve();
      }, RECHECK_MS);
      const wake = () => {
        clearTimeout(timer);
        resolve();
      };
      this.#waiting.push(wake);
    });
  }

  /** Wakes the one that has waited longest. */
  wakeOne(): void {
    this.#waiting.shift()?.();
  }
}
