import { join } from "node:path";
import { RecordFile } from "../../common/storage/RecordFile.ts";
import type { ReplicaStore, StoreRecord, StoredReplica } from "./ReplicaStore.ts";

/** The file under the data folder. */
const FILE = "replica.log";

/** A file longer than this is written afresh, bytes: some hundred changes, or one document with 10,000 routes. */
const COMPACT_BYTES = 2 * 1024 * 1024;

type Line = { readonly kind: "all"; readonly state: StoredReplica } | StoreRecord;

/** A replica's state in one file: first all of it, then what came later, each line synced. */
export class FileReplicaStore implements ReplicaStore {
  readonly #file: RecordFile<Line>;

  /** `dir` is the replica's data folder. */
  constructor(dir: string) {
    this.#file = new RecordFile(join(dir, FILE));
  }

  get wantsCompaction(): boolean {
    return this.#file.length > COMPACT_BYTES;
  }

  load(): StoredReplica | undefined {
    let state: StoredReplica | undefined;
    for (const line of this.#file.read()) {
      state = line.kind === "all" ? line.state : state && takeIn(state, line);
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

function takeIn(state: StoredReplica, record: StoreRecord): StoredReplica {
  switch (record.kind) {
    case "term":
      return { ...state, term: record.term, votedFor: record.votedFor };
    case "entries": {
      const kept = state.entries.filter((e) => e.index <= record.after);
      return { ...state, entries: [...kept, ...record.entries] };
    }
  }
}
