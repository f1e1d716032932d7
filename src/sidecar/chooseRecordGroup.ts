import { createHash } from "node:crypto";

/** A sidecar that may keep records. */
interface Replica {
  readonly id: string;
  readonly zone: string;
}

/** Replicas that keep each record. */
const GROUP_SIZE = 5;

/**
 * The sidecars that keep the record of `key`: highest random weights first
 * (rendezvous hashing, Thaler and Ravishankar, "Using Name-Based Mappings to
 * Increase Hit Rates", 1998), taken from one zone after the other, so that
 * losing a zone takes at most two of five where there are three zones or more.
 * Every sidecar with the same members in view finds the same group, and one
 * member more or less changes it by at most one.
 */
export function chooseRecordGroup<T extends Replica>(key: string, pool: readonly T[]): T[] {
  const ranked = pool
    .map((replica) => ({ replica, weight: weigh(key, replica.id) }))
    .sort((a, b) => b.weight - a.weight || (a.replica.id < b.replica.id ? -1 : 1))
    .map((r) => r.replica);
  const taken = new Map<string, number>();
  const rounds = ranked.map((replica) => {
    const round = taken.get(replica.zone) ?? 0;
    taken.set(replica.zone, round + 1);
    return { replica, round };
  });
  // A stable sort: within a round the order by weight stays.
  return rounds
    .sort((a, b) => a.round - b.round)
    .slice(0, GROUP_SIZE)
    .map((r) => r.replica);
}

/** First 48 bits of a SHA-256, as a number: even over keys and ids. */
function weigh(key: string, id: string): number {
  return createHash("sha256").update(`${key}\n${id}`).digest().readUIntBE(0, 6);
}
