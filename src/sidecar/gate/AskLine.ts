import type { AskReply } from "../hop/AskReply.ts";
import type { RefusalReason } from "../hop/RefusalReason.ts";
import { AskQueue } from "./AskQueue.ts";
import { isLate } from "./isLate.ts";
import { LineForecast } from "./LineForecast.ts";
import type { WaitingAsk } from "./WaitingAsk.ts";

type Reply = (reply: AskReply) => void;

/** An ask whose turn has come, and whoever waits for its answer; undefined where that has given up. */
interface Turn {
  readonly waiting: WaitingAsk;
  readonly reply: Reply | undefined;
}

/** The asks that stand in line at a gate, with those who wait for their answers. */
export class AskLine {
  readonly #queue: AskQueue;
  readonly #forecast = new LineForecast();
  readonly #replies = new Map<WaitingAsk, Reply>();

  constructor(order?: ConstructorParameters<typeof AskQueue>[0]) {
    this.#queue = new AskQueue(order);
  }

  get length(): number {
    return this.#queue.length;
  }

  add(waiting: WaitingAsk, reply: Reply): void {
    this.#queue.add(waiting);
    this.#replies.set(waiting, reply);
  }

  /** Takes one out; false when it is not here any more. */
  remove(waiting: WaitingAsk): boolean {
    this.#replies.delete(waiting);
    return this.#queue.remove(waiting);
  }

  /** Takes out the one whose turn it is, at `now`, when a request takes `serviceMs`. */
  next(now: number, serviceMs: number): Turn | undefined {
    const waiting = this.#queue.take(now, serviceMs);
    if (!waiting) {
      return undefined;
    }
    const reply = this.#replies.get(waiting);
    this.#replies.delete(waiting);
    return { waiting, reply };
  }

  /** Takes out all that are to be refused, and tells those who wait for them. */
  refuse(
    refusalOf: (waiting: WaitingAsk) => RefusalReason | undefined,
    answer: (reason: RefusalReason, waiting: WaitingAsk) => AskReply,
  ): void {
    const reasons = new Map<WaitingAsk, RefusalReason>();
    this.#queue.takeAll((waiting) => {
      const reason = refusalOf(waiting);
      if (reason) {
        reasons.set(waiting, reason);
      }
      return reason !== undefined;
    });
    for (const [waiting, reason] of reasons) {
      this.#replies.get(waiting)?.(answer(reason, waiting));
      this.#replies.delete(waiting);
    }
  }

  /** Notes that an ask was given a slot, in line or as it came. */
  noteGrant(waiting: WaitingAsk, now: number, serviceMs: number): void {
    const { isCall } = waiting.ask;
    this.#forecast.noteGrant({ isCall, isLate: isLate(waiting, now, serviceMs) });
  }

  /** How long `waiting`, in line or about to join it, will wait from now on, ms. */
  waitMs(waiting: WaitingAsk, now: number, pace: { slots: number; serviceMs: number }): number {
    return this.#forecast.waitMs(waiting, this.#queue, now, pace);
  }
}
