/** Each piece of news is passed on this many times log2 of the members: enough to reach all with high probability. */
const REPEATS = 3;

/**
 * News waiting to ride on the next messages, as in SWIM's infection-style
 * dissemination (Das, Gupta, Motivala, 2002): each piece is passed on a limited
 * number of times, those passed on least go first, and newer news of the same
 * member takes the place of older.
 */
export class RumorQueue {
  readonly #left = new Map<string, number>();

  /** Queues news of `id`, for a fleet of `members`. */
  add(id: string, members: number): void {
    this.#left.set(id, REPEATS * Math.ceil(Math.log2(members + 1)));
  }

  /** Up to `most` ids to pass on now. */
  take(most: number): string[] {
    const next = [...this.#left].sort((a, b) => b[1] - a[1]).slice(0, most);
    for (const [id, left] of next) {
      if (left > 1) {
        this.#left.set(id, left - 1);
      } else {
        this.#left.delete(id);
      }
    }
    return next.map(([id]) => id);
  }
}
