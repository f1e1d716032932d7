import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import { ConfigState } from "./ConfigState.ts";
import type { ControlGroup } from "./ControlGroup.ts";
import type { LogEntry } from "./LogEntry.ts";
import type { LogSnapshot } from "./LogSnapshot.ts";
import type { ReplicaStore, StoredReplica } from "./ReplicaStore.ts";
import type { Voter } from "./Voter.ts";

/**
 * Number of entries after which the log is compacted, whatever the file's size; limits how many
 * a start has to read.
 */
const COMPACT_ENTRIES = 1024;

/** Index and term of the snapshot of a replica without any state: no leader's log can continue from it. */
const EMPTY_INDEX = -1;

/**
 * A replica's durable term, vote and log. Every change is on disk when the method
 * that makes it returns; a method that throws has changed nothing.
 */
export class ReplicatedLog {
  readonly #store: ReplicaStore;
  #state: StoredReplica;
  #latestGroup: LatestGroup;

  /**
   * @param store the replica's durable storage
   * @param initial id and voters to start with on an empty disk; the voters are the first
   *   control group, or empty for a replica that is to receive its state from a leader
   */
  constructor(store: ReplicaStore, initial: () => { id: ReplicaId; voters: readonly Voter[] }) {
    this.#store = store;
    this.#state = store.load() ?? initialState(initial());
    this.#latestGroup = latestGroup(this.#state);
    // Rewritten at each start, so that no record is appended after a torn last line.
    store.replace(this.#state);
  }

  get id(): ReplicaId {
    return this.#state.id;
  }

  get term(): number {
    return this.#state.term;
  }

  get votedFor(): ReplicaId | "" {
    return this.#state.votedFor;
  }

  get snapshot(): LogSnapshot {
    return this.#state.snapshot;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.#state.entries.at(-1)?.index ?? this.#state.snapshot.index;
  }

  get lastTerm(): number {
    return this.#state.entries.at(-1)?.term ?? this.#state.snapshot.term;
  }

  /** The control group of the latest entry that sets one, committed or not. */
  get group(): ControlGroup {
    return this.#latestGroup.group;
  }

  /** Index of the entry that set {@link group}. */
  get groupIndex(): number {
    return this.#latestGroup.index;
  }

  /** Term of the entry at `index`; undefined if it is not in the log or was compacted away. */
  termAt(index: number): number | undefined {
    const { snapshot } = this.#state;
    return index === snapshot.index ? snapshot.term : this.#entryAt(index)?.term;
  }

  /** Entries after `index` that are still in the log, oldest first. */
  entriesAfter(index: number): readonly LogEntry[] {
    const { entries, snapshot } = this.#state;
    return entries.slice(Math.max(0, index - snapshot.index));
  }

  /** Enters a later term, or records the vote in this one; `votedFor` is empty for no vote yet. */
  enterTerm(term: number, votedFor: ReplicaId | "" = ""): void {
    this.#store.append({ kind: "term", term, votedFor });
    this.#state = { ...this.#state, term, votedFor };
  }

  /** Appends `entries` after index `after`, replacing any that follow it. */
  append(after: number, entries: readonly LogEntry[]): void {
    this.#store.append({ kind: "entries", after, entries });
    const kept = this.#state.entries.slice(0, Math.max(0, after - this.#state.snapshot.index));
    this.#state = { ...this.#state, entries: [...kept, ...entries] };
    this.#latestGroup = latestGroup(this.#state);
  }

  /** Replaces the snapshot and all entries with a leader's snapshot. */
  install(snapshot: LogSnapshot): void {
    this.#replace({ ...this.#state, snapshot, entries: [] });
  }

  /**
   * Replaces the entries up to `index` with a snapshot of the state that they lead to,
   * once the entries or the stored data have grown large enough.
   *
   * @param committed returns the state after the entry at `index`
   */
  compact(index: number, committed: () => LogSnapshot["config"]): void {
    const { snapshot, entries } = this.#state;
    if (index - snapshot.index < COMPACT_ENTRIES && !this.#store.wantsCompaction) {
      return;
    }
    const term = this.termAt(index) ?? snapshot.term;
    const { group } = latestGroup({ snapshot, entries: entries.filter((e) => e.index <= index) });
    this.#replace({
      ...this.#state,
      snapshot: { index, term, group, config: committed() },
      entries: entries.filter((e) => e.index > index),
    });
  }

  #replace(state: StoredReplica): void {
    this.#store.replace(state);
    this.#state = state;
    this.#latestGroup = latestGroup(state);
  }

  #entryAt(index: number): LogEntry | undefined {
    return this.#state.entries[index - this.#state.snapshot.index - 1];
  }
}

/** The latest control group and the index of the entry that set it. */
interface LatestGroup {
  readonly index: number;
  readonly group: ControlGroup;
}

function latestGroup(from: Pick<StoredReplica, "snapshot" | "entries">): LatestGroup {
  for (const { index, body } of from.entries.toReversed()) {
    if (body.kind === "group") {
      return { index, group: body.group };
    }
  }
  return from.snapshot;
}

function initialState(initial: { id: ReplicaId; voters: readonly Voter[] }): StoredReplica {
  const index = initial.voters.length > 0 ? 0 : EMPTY_INDEX;
  const config = new ConfigState().snapshot();
  return {
    id: initial.id,
    term: 0,
    votedFor: "",
    snapshot: { index, term: index, group: { voters: initial.voters }, config },
    entries: [],
  };
}
