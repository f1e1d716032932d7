/** Each piece of news is passed on this many times log2 of the members at most: enough to reach all with high probability. */
const REPEATS = 3;

/** Members of the own zone that are seen to have a piece of news already, after which it is no news there. */
const KNOWN_NEAR = 2;

/** The same for members of other zones: without one, news could end before it has left its zone. */
const KNOWN_FAR = 1;

/** Where a member stands, as seen from this one. */
export type Distance = "near" | "far";

/** A piece of news under way. */
interface Rumor {
  /** Times that it may still be passed on. */
  left: number;
  /** Members that must still be seen to have it. */
  readonly unknown: Record<Distance, number>;
}

/**
 * News waiting to ride on the next messages: each piece is passed on until enough of those who get it are seen to have it
 * already (rumor mongering with feedback and counters; Demers et al., "Epidemic algorithms for replicated
 * database maintenance", PODC 1987), and never more often than SWIM's infection-style dissemination would.
 * A count that only grows with the fleet sends each member news some twenty times over once there are hundreds.
 * What was passed on least goes first, and newer news of the same member takes the place of older.
 */
export class RumorQueue {
  readonly #rumors = new Map<string, Rumor>();

  /** Queues news of `id`, for so many other members in the own zone and in others. */
  add(id: string, others: Record<Distance, number>): void {
    const members = 1 + others.near + others.far;
    this.#rumors.set(id, {
      left: REPEATS * Math.ceil(Math.log2(members + 1)),
      unknown: {
        near: Math.min(KNOWN_NEAR, others.near),
        far: Math.min(KNOWN_FAR, others.far),
      },
    });
  }

  /** Up to `most` ids to pass on now, but for those that the receiver is known to have. */
  take(most: number, known: ReadonlySet<string> = new Set()): string[] {
    const next = [...this.#rumors]
      .filter(([id]) => !known.has(id))
      .sort(([, a], [, b]) => b.left - a.left)
      .slice(0, most);
    for (const [id, rumor] of next) {
      rumor.left -= 1;
      this.#endIfOld(id, rumor);
    }
    return next.map(([id]) => id);
  }

  /** Notes that a member had the news of `id` before it got it from here. */
  noteKnown(id: string, by: Distance): void {
    const rumor = this.#rumors.get(id);
    if (rumor) {
      rumor.unknown[by] = Math.max(0, rumor.unknown[by] - 1);
      this.#endIfOld(id, rumor);
    }
  }

  #endIfOld(id: string, { left, unknown }: Rumor): void {
    if (left <= 0 || unknown.near + unknown.far === 0) {
      this.#rumors.delete(id);
    }
  }
}
