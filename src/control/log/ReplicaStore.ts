import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { LogEntry } from "./LogEntry.ts";
import type { LogSnapshot } from "./LogSnapshot.ts";

/** Everything that a replica must not forget. */
export interface StoredReplica {
  readonly id: ReplicaId;
  readonly term: number;
  /** Whom it voted for in that term; empty for nobody yet. */
  readonly votedFor: ReplicaId | "";
  readonly snapshot: LogSnapshot;
  readonly entries: readonly LogEntry[];
}

/** One addition to what is stored. */
export type StoreRecord =
  | { readonly kind: "term"; readonly term: number; readonly votedFor: ReplicaId | "" }
  /** Entries that follow the one at `after`; what stood there before is dropped. */
  | { readonly kind: "entries"; readonly after: number; readonly entries: readonly LogEntry[] };

/**
 * A replica's disk. Both writes return only once what they wrote survives a loss
 * of power, and throw a {@link StorageError} when the disk refuses.
 */
export interface ReplicaStore {
  /** True when so much was appended that writing all of it afresh is worth it. */
  readonly wantsCompaction: boolean;
  /** What was stored last; undefined on an empty disk. */
  load(): StoredReplica | undefined;
  /** Stores all of it in place of what was there, or leaves that untouched. */
  replace(state: StoredReplica): void;
  append(record: StoreRecord): void;
}
