import type { SlotReply } from "../hop/SlotReply.ts";
import type { RefusalReason } from "../hop/RefusalReason.ts";
import { SlotRequestQueue } from "./SlotRequestQueue.ts";
import { isLate } from "./isLate.ts";
import { WaitEstimator } from "./WaitEstimator.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

type ReplyCallback = (reply: SlotReply) => void;

/** An ask whose turn has come, and whoever waits for its answer; undefined where that has given up. */
interface DequeuedRequest {
  readonly waiting: QueuedRequest;
  readonly reply: ReplyCallback | undefined;
}

/** The asks that stand in line at a gate, with those who wait for their answers. */
export class AdmissionQueue {
  readonly #queue: SlotRequestQueue;
  readonly #estimator = new WaitEstimator();
  readonly #replies = new Map<QueuedRequest, ReplyCallback>();

  constructor(order?: ConstructorParameters<typeof SlotRequestQueue>[0]) {
    this.#queue = new SlotRequestQueue(order);
  }

  get length(): number {
    return this.#queue.length;
  }

  add(waiting: QueuedRequest, reply: ReplyCallback): void {
    this.#queue.add(waiting);
    this.#replies.set(waiting, reply);
  }

  /** Takes one out; false when it is not here any more. */
  remove(waiting: QueuedRequest): boolean {
    this.#replies.delete(waiting);
    return this.#queue.remove(waiting);
  }

  /** Takes out the one whose turn it is, at `now`, when a request takes `serviceMs`. */
  dequeue(now: number, serviceMs: number): DequeuedRequest | undefined {
    const waiting = this.#queue.take(now, serviceMs);
    if (!waiting) {
      return undefined;
    }
    const reply = this.#replies.get(waiting);
    this.#replies.delete(waiting);
    return { waiting, reply };
  }

  /** Takes out all that are to be refused, and tells those who wait for them. */
  refuseWhere(
    refusalOf: (waiting: QueuedRequest) => RefusalReason | undefined,
    makeReply: (reason: RefusalReason, waiting: QueuedRequest) => SlotReply,
  ): void {
    const reasons = new Map<QueuedRequest, RefusalReason>();
    this.#queue.removeWhere((waiting) => {
      const reason = refusalOf(waiting);
      if (reason) {
        reasons.set(waiting, reason);
      }
      return reason !== undefined;
    });
    for (const [waiting, reason] of reasons) {
      this.#replies.get(waiting)?.(makeReply(reason, waiting));
      this.#replies.delete(waiting);
    }
  }

  /** Notes that an ask was given a slot, in line or as it came. */
  recordGrant(waiting: QueuedRequest, now: number, serviceMs: number): void {
    const { isCall } = waiting.request;
    this.#estimator.recordGrant({ isCall, isLate: isLate(waiting, now, serviceMs) });
  }

  /** How long `waiting`, in line or about to join it, will wait from now on, ms. */
  waitMs(waiting: QueuedRequest, now: number, pace: { slots: number; serviceMs: number }): number {
    return this.#estimator.waitMs(waiting, this.#queue, now, pace);
  }
}
