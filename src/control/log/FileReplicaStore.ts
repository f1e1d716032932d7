import { join } from "node:path";
import { RecordFile } from "../../common/storage/RecordFile.ts";
import type { ReplicaStore, StoreRecord, StoredReplica } from "./ReplicaStore.ts";

/** Name of the file in the data directory. */
const FILE_NAME = "replica.log";

/** File size above which the file is compacted, bytes: some hundred changes, or one document with 10,000 routes. */
const COMPACT_BYTES = 2 * 1024 * 1024;

type StoredLine = { readonly kind: "all"; readonly state: StoredReplica } | StoreRecord;

/** Stores a replica's state in one file: the full state on the first line, then one synced line per later record. */
export class FileReplicaStore implements ReplicaStore {
  readonly #file: RecordFile<StoredLine>;

  /** @param dir the replica's data directory */
  constructor(dir: string) {
    this.#file = new RecordFile(join(dir, FILE_NAME));
  }

  get wantsCompaction(): boolean {
    return this.#file.length > COMPACT_BYTES;
  }

  load(): StoredReplica | undefined {
    let state: StoredReplica | undefined;
    for (const line of this.#file.read()) {
      state = line.kind === "all" ? line.state : state && applyRecord(state, line);
    }
    return state;
  }

  replace(state: StoredReplica): void {
    this.#file.rewrite([{ kind: "all", state }]);
  }

  append(record: StoreRecord): void {
    this.#file.append(record);
  }
}

function applyRecord(state: StoredReplica, record: StoreRecord): StoredReplica {
  switch (record.kind) {
    case "term":
      return { ...state, term: record.term, votedFor: record.votedFor };
    case "entries": {
      const kept = state.entries.filter((e) => e.index <= record.after);
      return { ...state, entries: [...kept, ...record.entries] };
    }
  }
}
