import { goesBefore } from "./goesBefore.ts";
import { isLate } from "./isLate.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** Whether the first goes before the second, at a time (ms), when a request takes so long (ms). */
type QueueOrder = (a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number) => boolean;

/** Asks waiting for a slot at one target, taken in the order that `goesBefore` gives. */
export class SlotRequestQueue {
  readonly #waiting: QueuedRequest[] = [];
  readonly #goesBefore: QueueOrder;

  constructor(order: QueueOrder = goesBefore) {
    this.#goesBefore = order;
  }

  get length(): number {
    return this.#waiting.length;
  }

  add(waiting: QueuedRequest): void {
    this.#waiting.push(waiting);
  }

  /** Takes one back; false when it is not here any more. */
  remove(waiting: QueuedRequest): boolean {
    const index = this.#waiting.indexOf(waiting);
    if (index < 0) {
      return false;
    }
    this.#waiting.splice(index, 1);
    return true;
  }

  /** Takes the one whose turn it is, at `now`, when a request takes `serviceMs`. */
  take(now: number, serviceMs: number): QueuedRequest | undefined {
    let first: QueuedRequest | undefined;
    for (const waiting of this.#waiting) {
      if (!first || this.#goesBefore(waiting, first, now, serviceMs)) {
        first = waiting;
      }
    }
    if (first) {
      this.remove(first);
    }
    return first;
  }

  /** Those that go before `waiting`, whether it is here or would join now. */
  ahead(waiting: QueuedRequest, now: number, serviceMs: number): QueuedRequest[] {
    return this.#waiting.filter(
      (w) => w !== waiting && !this.#goesBefore(waiting, w, now, serviceMs),
    );
  }

  /** How many cannot meet their objective any more. */
  countLate(now: number, serviceMs: number): number {
    return this.#waiting.filter((w) => isLate(w, now, serviceMs)).length;
  }

  /** Removes and returns all that `isDue` picks. */
  removeWhere(shouldRemove: (waiting: QueuedRequest) => boolean): QueuedRequest[] {
    const removed = this.#waiting.filter(shouldRemove);
    removed.forEach((w) => this.remove(w));
    return removed;
  }
}
