import type { FairShares } from "../fairness/FairShares.ts";
import { workspaceOf } from "../fairness/workspaceOf.ts";
import { goesBefore } from "./goesBefore.ts";
import { isLate } from "./isLate.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** Whether `a` is served before `b` at `now` (ms), given the mean service time (ms). */
type QueueOrder = (a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number) => boolean;

/** Puts queued requests in the order in which slot time is shared fairly; undefined while that is off. */
type Arrange = FairShares["arrange"];

/**
 * Time for which an arrangement of the unchanged queue is used again, ms. When the queue is evaluated, the wait of each
 * request in it is asked for in turn; requests that become late in between are late by a few ms only.
 */
const ARRANGEMENT_VALID_MS = 5;

/**
 * Slot requests that wait for one target, served in the order of {@link goesBefore} unless another is given, or in that
 * of fair sharing while it is on.
 */
export class SlotRequestQueue {
  readonly #waiting: QueuedRequest[] = [];
  readonly #goesBefore: QueueOrder;
  readonly #arrange: Arrange;
  /** The last arrangement of the queue and its time, ms; undefined after a change of the queue. */
  #arranged: { readonly at: number; readonly order: QueuedRequest[] } | undefined;

  constructor(order: QueueOrder = goesBefore, arrange: Arrange = () => undefined) {
    this.#goesBefore = order;
    this.#arrange = arrange;
  }

  get length(): number {
    return this.#waiting.length;
  }

  /** The queued requests, in the order in which they were received. */
  get requests(): readonly QueuedRequest[] {
    return this.#waiting;
  }

  /** Whether a request of a workspace is queued; the name is empty for requests that name none. */
  hasWorkspace(workspace: string): boolean {
    return this.#waiting.some((w) => workspaceOf(w.request) === workspace);
  }

  add(waiting: QueuedRequest): void {
    this.#arranged = undefined;
    this.#waiting.push(waiting);
  }

  /** Removes a request; false if it is no longer queued. */
  remove(waiting: QueuedRequest): boolean {
    const index = this.#waiting.indexOf(waiting);
    if (index < 0) {
      return false;
    }
    this.#arranged = undefined;
    this.#waiting.splice(index, 1);
    return true;
  }

  /** Removes and returns the request to be served next at `now` (ms), given the mean service time `serviceMs`. */
  dequeue(now: number, serviceMs: number): QueuedRequest | undefined {
    // The arrangement is made anew: a grant that was revoked since the last one has changed it.
    const arranged = this.#arrange(this.#waiting, now);
    const first = arranged ? arranged[0] : this.#firstInOrder(now, serviceMs);
    if (first) {
      this.remove(first);
    }
    return first;
  }

  /** Requests to be served before `waiting`, which may be queued already or not. */
  ahead(waiting: QueuedRequest, now: number, serviceMs: number): QueuedRequest[] {
    const arranged = this.#arrangeWith(waiting, now);
    if (arranged) {
      return arranged.slice(0, arranged.indexOf(waiting));
    }
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

  #firstInOrder(now: number, serviceMs: number): QueuedRequest | undefined {
    let first: QueuedRequest | undefined;
    for (const waiting of this.#waiting) {
      if (!first || this.#goesBefore(waiting, first, now, serviceMs)) {
        first = waiting;
      }
    }
    return first;
  }

  /** The fair arrangement of the queue and `waiting`, which may be queued already or not. */
  #arrangeWith(waiting: QueuedRequest, now: number): QueuedRequest[] | undefined {
    if (!this.#waiting.includes(waiting)) {
      return this.#arrange([...this.#waiting, waiting], now);
    }
    if (this.#arranged && now - this.#arranged.at <= ARRANGEMENT_VALID_MS) {
      return this.#arranged.order;
    }
    const order = this.#arrange(this.#waiting, now);
    this.#arranged = order && { at: now, order };
    return order;
  }
}
