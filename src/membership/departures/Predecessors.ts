import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

type Member = ProtoTypes["Member"];
type Departure = ProtoTypes["Departure"];
type Predecessor = ProtoTypes["Predecessor"];

/**
 * Time for which the departures of a member's earlier incarnation are kept once a later one is known, ms: longer than
 * a restarted process takes to recover, also if it is killed again several times.
 */
const RETENTION_MS = 60_000;

/** The last known incarnation of a member before its present one. */
interface KnownPredecessor extends Predecessor {
  /** When the later incarnation was first known here, ms. */
  readonly supersededAt: number;
}

/**
 * What this member knew of the earlier incarnations of others. A restarted member has lost the departures of its
 * targets, and asks others for them. Its new entry replaces the old one before it has recovered, so they are kept here.
 */
export class Predecessors {
  readonly #now: () => number;
  readonly #known = new Map<string, KnownPredecessor>();

  /** @param now monotonic clock, ms */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Records an entry that one of a later incarnation replaces. */
  note({ sidecar_id: id, incarnation, departed }: Member): void {
    this.#removeExpired();
    const earlier = this.#known.get(id)?.departed ?? [];
    const supersededAt = this.#now();
    this.#known.set(id, { incarnation, departed: union(earlier, departed), supersededAt });
  }

  /** What is known of the incarnations of member `id` before its present one. */
  of(id: string): Predecessor | null {
    this.#removeExpired();
    const known = this.#known.get(id);
    return known ? { incarnation: known.incarnation, departed: known.departed } : null;
  }

  #removeExpired(): void {
    const cutoff = this.#now() - RETENTION_MS;
    for (const [id, { supersededAt }] of this.#known) {
      if (supersededAt < cutoff) {
        this.#known.delete(id);
      }
    }
  }
}

/** Both lists; where both have the same incarnation of a target, the second one's entry. */
function union(first: readonly Departure[], second: readonly Departure[]): Departure[] {
  const key = ({ target_id: id, born }: Departure) => `${id}@${born}`;
  return [...new Map([...first, ...second].map((d) => [key(d), d])).values()];
}
