import { createHash } from "node:crypto";
import { RECORD_GROUP_SIZE } from "./RECORD_GROUP_SIZE.ts";

/** A sidecar that may hold records. */
interface Replica {
  readonly id: string;
  readonly zone: string;
}

/**
 * Chooses the sidecars that hold the record of `key`, by highest random weight
 * (rendezvous hashing, Thaler and Ravishankar, "Using Name-Based Mappings to
 * Increase Hit Rates", 1998) and from each availability zone in turn, so that
 * with three zones or more the loss of a zone affects at most two of the five.
 * Sidecars with the same view of the members choose the same group, and adding
 * or removing one member changes a group by at most one.
 */
export function chooseRecordGroup<T extends Replica>(key: string, pool: readonly T[]): T[] {
  const keyHash = hash32(key);
  const zones = new Map<string, Ranked<T>[]>();
  for (const replica of pool) {
    const ranked = zones.get(replica.zone) ?? [];
    zones.set(replica.zone, ranked);
    insertRanked(ranked, { replica, weight: mix(keyHash ^ idHash(replica.id)) });
  }
  const group: Ranked<T>[] = [];
  for (let round = 0; round < RECORD_GROUP_SIZE; round++) {
    const nextPerZone = [...zones.values()].flatMap((ranked) => ranked[round] ?? []);
    group.push(...nextPerZone.sort(byWeight));
  }
  return group.slice(0, RECORD_GROUP_SIZE).map((r) => r.replica);
}

interface Ranked<T> {
  readonly replica: T;
  readonly weight: number;
}

function byWeight(a: Ranked<Replica>, b: Ranked<Replica>): number {
  return b.weight - a.weight || (a.replica.id < b.replica.id ? -1 : 1);
}

/** Inserts a candidate into `ranked`, which keeps the {@link RECORD_GROUP_SIZE} highest weights in order. */
function insertRanked<T extends Replica>(ranked: Ranked<T>[], candidate: Ranked<T>): void {
  const last = ranked[RECORD_GROUP_SIZE - 1];
  if (last && byWeight(last, candidate) < 0) {
    return;
  }
  const index = ranked.findIndex((r) => byWeight(candidate, r) < 0);
  ranked.splice(index < 0 ? ranked.length : index, 0, candidate);
  ranked.length = Math.min(ranked.length, RECORD_GROUP_SIZE);
}

/** Hashes of member ids, so that ranking thousands of members per request needs no SHA-256 for each. */
const idHashes = new Map<string, number>();

/** Maximum number of cached ids before the cache is cleared: several fleets of the size planned for in two years. */
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

/** The finalizer of MurmurHash3 (Appleby): every input bit affects all 32 output bits. */
function mix(input: number): number {
  let h = input;
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
