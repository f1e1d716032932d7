import type { Clock } from "../src/common/lifecycle/Clock.ts";
import type { Timer } from "../src/common/lifecycle/Timer.ts";

interface Entry {
  readonly due: number;
  /** Sequence number: entries that are due at the same time run in the order in which they were set. */
  readonly order: number;
  readonly callback: () => void;
  cancelled: boolean;
}

/** Turns of the microtask queue after each timer, so that chains of promise callbacks settle before the next one. */
const MICROTASK_TURNS = 12;

/** A simulated clock: timers are kept in a heap and run in order, without waiting for real time to pass. */
export class SimClock implements Clock {
  #now = 0;
  #order = 0;
  readonly #heap: Entry[] = [];

  now(): number {
    return this.#now;
  }

  after(ms: number, callback: () => void): Timer {
    const entry = {
      due: this.#now + Math.max(0, ms),
      order: this.#order++,
      callback,
      cancelled: false,
    };
    this.#push(entry);
    return {
      cancel: () => {
        entry.cancelled = true;
      },
    };
  }

  /** Simulated processes are never blocked, so timeouts are ordinary timers. */
  timeout(ms: number, callback: () => void): Timer {
    return this.after(ms, callback);
  }

  /** Runs timers until the simulated time is `until`, ms; promises settle between timers. */
  async run(until: number): Promise<void> {
    for (;;) {
      const next = this.#heap[0];
      if (!next || next.due > until) {
        this.#now = until;
        return;
      }
      this.#pop();
      if (!next.cancelled) {
        this.#now = next.due;
        next.callback();
        for (let i = 0; i < MICROTASK_TURNS; i++) {
          await Promise.resolve();
        }
      }
    }
  }

  #push(entry: Entry): void {
    const heap = this.#heap;
    let at = heap.push(entry) - 1;
    while (at > 0) {
      const above = (at - 1) >> 1;
      if (!isBefore(entry, heap[above])) {
        break;
      }
      heap[at] = heap[above] ?? entry;
      at = above;
    }
    heap[at] = entry;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) {
      return;
    }
    let at = 0;
    for (;;) {
      let below = 2 * at + 1;
      if (isBefore(heap[below + 1], heap[below])) {
        below += 1;
      }
      const child = heap[below];
      if (!child || !isBefore(child, last)) {
        break;
      }
      heap[at] = child;
      at = below;
    }
    heap[at] = last;
  }
}

function isBefore(a: Entry | undefined, b: Entry | undefined): boolean {
  if (!a || !b) {
    return a !== undefined;
  }
  return a.due < b.due || (a.due === b.due && a.order < b.order);
}
