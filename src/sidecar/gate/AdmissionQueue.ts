import type { SlotReply } from "../hop/SlotReply.ts";
import type { RefusalReason } from "../hop/RefusalReason.ts";
import type { FairShares } from "../fairness/FairShares.ts";
import { workspaceOf } from "../fairness/workspaceOf.ts";
import { SlotRequestQueue } from "./SlotRequestQueue.ts";
import { isLate } from "./isLate.ts";
import { WaitEstimator } from "./WaitEstimator.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

type ReplyCallback = (reply: SlotReply) => void;

/** The slot request that is next in order, and its reply callback; without one if the request was withdrawn. */
interface DequeuedRequest {
  readonly waiting: QueuedRequest;
  readonly reply: ReplyCallback | undefined;
}

/** The slot requests queued at a gate, with their reply callbacks and an estimate of their waits. */
export class AdmissionQueue {
  readonly #queue: SlotRequestQueue;
  readonly #fairShares: Pick<FairShares, "arrange" | "isOn"> | undefined;
  readonly #estimator = new WaitEstimator();
  readonly #replies = new Map<QueuedRequest, ReplyCallback>();

  /** @param fairShares puts the requests in order while fair sharing is on; if absent, it is always off */
  constructor(
    order?: ConstructorParameters<typeof SlotRequestQueue>[0],
    fairShares?: Pick<FairShares, "arrange" | "isOn">,
  ) {
    this.#fairShares = fairShares;
    this.#queue = new SlotRequestQueue(order, (...args) => fairShares?.arrange(...args));
  }

  get length(): number {
    return this.#queue.length;
  }

  /** The queued requests, in the order in which they were received. */
  get requests(): readonly QueuedRequest[] {
    return this.#queue.requests;
  }

  add(waiting: QueuedRequest, reply: ReplyCallback): void {
    this.#queue.add(waiting);
    this.#replies.set(waiting, reply);
  }

  /** Removes a request; false if it is no longer queued. */
  remove(waiting: QueuedRequest): boolean {
    this.#replies.delete(waiting);
    return this.#queue.remove(waiting);
  }

  /** Removes and returns the request to be served next at `now` (ms), given the mean service time `serviceMs`. */
  dequeue(now: number, serviceMs: number): DequeuedRequest | undefined {
    const waiting = this.#queue.dequeue(now, serviceMs);
    if (!waiting) {
      return undefined;
    }
    const reply = this.#replies.get(waiting);
    this.#replies.delete(waiting);
    return { waiting, reply };
  }

  /** Removes all requests for which `refusalOf` gives a reason, and replies to each with the refusal. */
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

  /** Removes a queued request and replies with its refusal, which is made while it is still queued. */
  refuse(waiting: QueuedRequest, makeReply: () => SlotReply): void {
    const reply = makeReply();
    const callback = this.#replies.get(waiting);
    this.remove(waiting);
    callback?.(reply);
  }

  /** Records that a slot was granted to a request, queued or newly received. */
  recordGrant(waiting: QueuedRequest, now: number, serviceMs: number): void {
    const { isNestedCall } = waiting.request;
    this.#estimator.recordGrant({
      isNestedCall,
      isLate: isLate(waiting, now, serviceMs),
      workspace: workspaceOf(waiting.request),
    });
  }

  /** Estimated remaining wait of `waiting`, queued or about to be, ms. */
  waitMs(
    waiting: QueuedRequest,
    now: number,
    pace: { msPerGrant: number; serviceMs: number },
  ): number {
    const isFair = this.#fairShares?.isOn ?? false;
    return this.#estimator.waitMs(waiting, this.#queue, now, { ...pace, isFair });
  }
}
