import type { AskQueue } from "./AskQueue.ts";
import { isLate } from "./isLate.ts";
import type { WaitingAsk } from "./WaitingAsk.ts";

/** Share of the waiting asks that come to run here: the others take another gate's grant. */
const ASKS_THAT_STAY = 0.5;

/** Grants from which it is told how often a late one gets its turn: at five slots and half a second of work, the last two seconds'. */
const WINDOW = 20;

/** How fast a target works its line off. */
interface Pace {
  readonly slots: number;
  /** How long a slot is in use for one request, ms. */
  readonly serviceMs: number;
}

/**
 * Tells how long an ask will stand in a gate's line. Asks that can still meet their
 * objective go before those that are late, so a late one's turn depends on how many
 * slots the others leave: none while more come than can be served, and all once a burst
 * is over. That is told from the share of late ones among those who were served last.
 */
export class LineForecast {
  readonly #late: boolean[] = [];

  /** Notes that an ask was given a slot. */
  noteGrant(wasLate: boolean): void {
    this.#late.push(wasLate);
    if (this.#late.length > WINDOW) {
      this.#late.shift();
    }
  }

  /** How long `waiting`, in line or about to join it, will wait from now on, ms. */
  waitMs(waiting: WaitingAsk, line: AskQueue, now: number, { slots, serviceMs }: Pace): number {
    const turnMs = serviceMs / Math.max(1, slots);
    const ahead = line.ahead(waiting, now, serviceMs);
    const soonMs = (ahead.length * ASKS_THAT_STAY + 1) * turnMs;
    // One that will be late by its turn comes to stand with the late ones.
    if (!isLate(waiting, now + soonMs, serviceMs)) {
      return soonMs;
    }
    const lateAhead = ahead.filter((w) => isLate(w, now, serviceMs)).length;
    const onTime = line.length - line.countLate(now, serviceMs);
    const lateTurns = (lateAhead * ASKS_THAT_STAY + 1) / this.#lateShare;
    return Math.max(soonMs, (onTime * ASKS_THAT_STAY + lateTurns) * turnMs);
  }

  /** Share of the grants that late asks get; all, until the others are seen to take them. */
  get #lateShare(): number {
    const onTime = this.#late.filter((wasLate) => !wasLate).length;
    return 1 - onTime / (WINDOW + 1);
  }
}
