import { goesBefore } from "./goesBefore.ts";
import { isLate } from "./isLate.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** Whether `a` is served before `b` at `now` (ms), given the mean service time (ms). */
type QueueOrder = (a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number) => boolean;

/** Slot requests that wait for one target, served in the order of {@link goesBefore} unless another is given. */
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

  /** Removes a request; false if it is no longer queued. */
  remove(waiting: QueuedRequest): boolean {
    const index = this.#waiting.indexOf(waiting);
    if (index < 0) {
      return false;
    }
    this.#waiting.splice(index, 1);
    return true;
  }

  /** Removes and returns the request to be served next at `now` (ms), given the mean service time `serviceMs`. */
  dequeue(now: number, serviceMs: number): QueuedRequest | undefined {
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

  /** Requests to be served before `waiting`, which may be queued already or not. */
  ahead(waiting: QueuedRequest, now: number, serviceMs: number): QueuedRequest[] {
    return this.#waiting.filter(
      (w) => w !== waiting && !this.#goesBefore(waiting, w, now, serviceMs),
    );
  }

  /** Number of requests that can no longer meet their latency objective. */
  countLate(now: number, serviceMs: number): number {
    return this.#waiting.filter((w) => isLate(w, now, serviceMs)).length;
  }

  /** Removes and returns all requests that `shouldRemove` selects. */
  removeWhere(shouldRemove: (waiting: QueuedRequest) => boolean): QueuedRequest[] {
    const removed = this.#waiting.filter(shouldRemove);
    removed.forEach((w) => this.remove(w));
    return removed;
  }
}
