import type { Ask } from "../hop/Ask.ts";

/** An ask that waits for a slot. */
export interface WaitingAsk {
  readonly ask: Ask;
  /** When it came, by the gate's clock, ms. */
  readonly askedAt: number;
}

/**
 * Asks waiting for a slot at one target. The most urgent priority goes first;
 * within one, the ask whose objective is nearest, as long as it can still be met:
 * earliest due date first meets the most objectives, but under overload it would
 * spend the slots on requests that are late anyway, so those go last. Calls that a
 * target makes while it works hold its slot meanwhile; their objectives are short, so
 * they go ahead of new work of the same priority.
 */
export class AskQueue {
  readonly #waiting: WaitingAsk[] = [];

  get length(): number {
    return this.#waiting.length;
  }

  add(waiting: WaitingAsk): void {
    this.#waiting.push(waiting);
  }

  /** Takes one back; false when it is not here any more. */
  remove(waiting: WaitingAsk): boolean {
    const at = this.#waiting.indexOf(waiting);
    if (at < 0) {
      return false;
    }
    this.#waiting.splice(at, 1);
    return true;
  }

  /** Takes the one whose turn it is, at `now`, when a request takes `serviceMs`. */
  take(now: number, serviceMs: number): WaitingAsk | undefined {
    let first: WaitingAsk | undefined;
    for (const waiting of this.#waiting) {
      if (!first || goesBefore(waiting, first, now, serviceMs)) {
        first = waiting;
      }
    }
    if (first) {
      this.remove(first);
    }
    return first;
  }

  /** How many would go before `ask` if it came now. */
  ahead(ask: Ask, now: number, serviceMs: number): number {
    const newcomer = { ask, askedAt: now };
    return this.#waiting.filter((w) => !goesBefore(newcomer, w, now, serviceMs)).length;
  }

  /** Removes and returns all that `isDue` picks. */
  takeAll(isDue: (waiting: WaitingAsk) => boolean): WaitingAsk[] {
    const due = this.#waiting.filter(isDue);
    due.forEach((w) => this.remove(w));
    return due;
  }
}

function goesBefore(a: WaitingAsk, b: WaitingAsk, now: number, serviceMs: number): boolean {
  if (a.ask.priority !== b.ask.priority) {
    return a.ask.priority < b.ask.priority;
  }
  const [dueA, dueB] = [a.askedAt + a.ask.objectiveMs, b.askedAt + b.ask.objectiveMs];
  const [lateA, lateB] = [now + serviceMs > dueA, now + serviceMs > dueB];
  if (lateA !== lateB) {
    return lateB;
  }
  return lateA ? a.askedAt < b.askedAt : dueA < dueB;
}
