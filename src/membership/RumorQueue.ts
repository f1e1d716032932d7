/** A rumor is sent at most this many times log2 of the member count: enough to reach all members with high probability. */
const SENDS_PER_LOG2_MEMBERS = 3;

/** A rumor is dropped once this many members of the own zone, and {@link DUPLICATES_FAR} of others, had it already. */
const DUPLICATES_NEAR = 2;

/** The same for members of other zones; with 0, a rumor could be dropped before it has left its zone. */
const DUPLICATES_FAR = 1;

/** Whether a member is in the zone of this one (`near`) or in another (`far`). */
export type Distance = "near" | "far";

/** The state of one rumor: the newest entry of one member, while it is being spread. */
interface Rumor {
  /** Number of times that it may still be sent. */
  sendsLeft: number;
  /** Number of members that must still report that they had it already before it is dropped. */
  readonly duplicatesNeeded: Record<Distance, number>;
}

/**
 * The rumors to piggyback on the next gossip messages, by member id. A rumor is sent until enough of its receivers
 * report that they had it already (rumor mongering with feedback and counters; Demers et al., "Epidemic algorithms
 * for replicated database maintenance", PODC 1987), and never more often than in SWIM's infection-style
 * dissemination. SWIM's limit alone, which only grows with the fleet, delivers each update to each member some twenty
 * times once there are hundreds of members. Rumors that were sent least go first, and a newer rumor of the same
 * member replaces the older one.
 */
export class RumorQueue {
  readonly #rumors = new Map<string, Rumor>();

  /**
   * Queues a rumor about member `id`, in place of an older one.
   *
   * @param others number of other live members, in the own zone and in other zones
   */
  add(id: string, others: Record<Distance, number>): void {
    const members = 1 + others.near + others.far;
    this.#rumors.set(id, {
      sendsLeft: SENDS_PER_LOG2_MEMBERS * Math.ceil(Math.log2(members + 1)),
      duplicatesNeeded: {
        near: Math.min(DUPLICATES_NEAR, others.near),
        far: Math.min(DUPLICATES_FAR, others.far),
      },
    });
  }

  /** Up to `limit` member ids to send now, without those whose entries the receiver is `known` to have. */
  take(limit: number, known: ReadonlySet<string> = new Set()): string[] {
    const next = [...this.#rumors]
      .filter(([id]) => !known.has(id))
      .sort(([, a], [, b]) => b.sendsLeft - a.sendsLeft)
      .slice(0, limit);
    for (const [id, rumor] of next) {
      rumor.sendsLeft -= 1;
      this.#removeIfSpread(id, rumor);
    }
    return next.map(([id]) => id);
  }

  /** Notes that the receiver of the rumor about `id`, in the own zone or in another, had it already. */
  noteKnown(id: string, by: Distance): void {
    const rumor = this.#rumors.get(id);
    if (rumor) {
      rumor.duplicatesNeeded[by] = Math.max(0, rumor.duplicatesNeeded[by] - 1);
      this.#removeIfSpread(id, rumor);
    }
  }

  #removeIfSpread(id: string, { sendsLeft, duplicatesNeeded }: Rumor): void {
    if (sendsLeft <= 0 || duplicatesNeeded.near + duplicatesNeeded.far === 0) {
      this.#rumors.delete(id);
    }
  }
}
