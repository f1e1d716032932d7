import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { LogEntry } from "./LogEntry.ts";
import type { LogSnapshot } from "./LogSnapshot.ts";

/** A replica's durable state. */
export interface StoredReplica {
  readonly id: ReplicaId;
  readonly term: number;
  /** Id of the replica that it voted for in that term; empty if it has not voted. */
  readonly votedFor: ReplicaId | "";
  readonly snapshot: LogSnapshot;
  readonly entries: readonly LogEntry[];
}

/** An incremental change to the stored state. */
export type StoreRecord =
  | { readonly kind: "term"; readonly term: number; readonly votedFor: ReplicaId | "" }
  /** Entries that follow index `after`, in place of any stored there before. */
  | { readonly kind: "entries"; readonly after: number; readonly entries: readonly LogEntry[] };

/**
 * A replica's durable storage. Both writes return only once their data would survive
 * a power failure, and throw a {@link StorageError} when the write fails.
 */
export interface ReplicaStore {
  /** True when enough has been appended that the store should be rewritten with the current state only. */
  readonly wantsCompaction: boolean;
  /** The stored state; undefined on an empty disk. */
  load(): StoredReplica | undefined;
  /** Atomically replaces the stored state; a failed write leaves the old state unchanged. */
  replace(state: StoredReplica): void;
  append(record: StoreRecord): void;
}
