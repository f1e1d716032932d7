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
  const keyHash = hash32(key);
  const zones = new Map<string, Ranked<T>[]>();
  for (const replica of pool) {
    const best = zones.get(replica.zone) ?? [];
    zones.set(replica.zone, best);
    insert(best, { replica, weight: mix(keyHash ^ idHash(replica.id)) });
  }
  const group: Ranked<T>[] = [];
  for (let round = 0; round < GROUP_SIZE; round++) {
    const nextOfEach = [...zones.values()].flatMap((best) => best[round] ?? []);
    group.push(...nextOfEach.sort(byWeight));
  }
  return group.slice(0, GROUP_SIZE).map((r) => r.replica);
}

interface Ranked<T> {
  readonly replica: T;
  readonly weight: number;
}

function byWeight(a: Ranked<Replica>, b: Ranked<Replica>): number {
  return b.weight - a.weight || (a.replica.id < b.replica.id ? -1 : 1);
}

/** Keeps `best` the highest {@link GROUP_SIZE}, in order. */
function insert<T extends Replica>(best: Ranked<T>[], candidate: Ranked<T>): void {
  const last = best[GROUP_SIZE - 1];
  if (last && byWeight(last, candidate) < 0) {
    return;
  }
  const at = best.findIndex((r) => byWeight(candidate, r) < 0);
  best.splice(at < 0 ? best.length : at, 0, candidate);
  best.length = Math.min(best.length, GROUP_SIZE);
}

/** Hashes of ids seen, so that ranking thousands of members per request costs no SHA-256 each. */
const idHashes = new Map<string, number>();

/** Ids remembered before the cache starts over: several fleets of the two-year size. */
const MAX_ID_HASHES = 50_000;

function idHash(id: string): number {
  let hash = idHashes.get(id);
  if (hash === undefined) {
    if (idHashes.size >= MAX_ID_HASHES) {
      idHashes.clear();
    }
    hash = hash32(id);
    idHashes.set(id, hash);
  }
  return hash;
}

function hash32(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** The finalizer of MurmurHash3 (Appleby): spreads each bit of the input over all 32 of the output. */
function mix(input: number): number {
  let h = input;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
