import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import { ConfigState } from "./ConfigState.ts";
import type { ControlGroup } from "./ControlGroup.ts";
import type { LogEntry } from "./LogEntry.ts";
import type { LogSnapshot } from "./LogSnapshot.ts";
import type { ReplicaStore, StoredReplica } from "./ReplicaStore.ts";
import type { Voter } from "./Voter.ts";

/** Entries after which the log is compacted, whatever the file's size: a start then reads at most these. */
const COMPACT_ENTRIES = 1024;

/** Index and term of the snapshot of a replica that has been told nothing: no leader's log joins on to it. */
const BLANK_INDEX = -1;

/**
 * A replica's durable term, vote and log. Every change is on disk when the method
 * that makes it returns; one that throws has changed nothing.
 */
export class ReplicatedLog {
  readonly #store: ReplicaStore;
  #state: StoredReplica;
  #newest: NewestGroup;

  /**
   * @param store the replica's disk
   * @param first what to start from on an empty disk: the first control group, or
   *   none for a replica that is to learn everything from a leader
   */
  constructor(store: ReplicaStore, first: () => { id: ReplicaId; voters: readonly Voter[] }) {
    this.#store = store;
    this.#state = store.load() ?? emptyReplica(first());
    this.#newest = newestGroup(this.#state);
    // Written afresh at each start: a torn last line is gone before anything follows it.
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

  /** Index of the newest entry. */
  get lastIndex(): number {
    return this.#state.entries.at(-1)?.index ?? this.#state.snapshot.index;
  }

  get lastTerm(): number {
    return this.#state.entries.at(-1)?.term ?? this.#state.snapshot.term;
  }

  /** The control group by the newest entry that says so, committed or not. */
  get group(): ControlGroup {
    return this.#newest.group;
  }

  /** Index of the entry that {@link group} comes from. */
  get groupIndex(): number {
    return this.#newest.index;
  }

  /** Term of the entry at `index`; undefined when it is not held (any more). */
  termAt(index: number): number | undefined {
    const { snapshot } = this.#state;
    return index === snapshot.index ? snapshot.term : this.#entryAt(index)?.term;
  }

  /** Held entries after `index`, oldest first. */
  after(index: number): readonly LogEntry[] {
    const { entries, snapshot } = this.#state;
    return entries.slice(Math.max(0, index - snapshot.index));
  }

  /** Enters a later term, in which it has voted for `votedFor`, or for nobody yet. */
  enterTerm(term: number, votedFor: ReplicaId | "" = ""): void {
    this.#store.append({ kind: "term", term, votedFor });
    this.#state = { ...this.#state, term, votedFor };
  }

  /** Puts `entries` after the one at `after`, in place of what stood there. */
  append(after: number, entries: readonly LogEntry[]): void {
    this.#store.append({ kind: "entries", after, entries });
    const kept = this.#state.entries.slice(0, Math.max(0, after - this.#state.snapshot.index));
    this.#state = { ...this.#state, entries: [...kept, ...entries] };
    this.#newest = newestGroup(this.#state);
  }

  /** Takes a leader's snapshot in place of all that is here. */
  install(snapshot: LogSnapshot): void {
    this.#replace({ ...this.#state, snapshot, entries: [] });
  }

  /**
   * Drops the entries up to `index` for `committed`, the state that they have come
   * to, when there are enough of them to be worth it.
   */
  compact(index: number, committed: () => LogSnapshot["config"]): void {
    const { snapshot, entries } = this.#state;
    if (index - snapshot.index < COMPACT_ENTRIES && !this.#store.wantsCompaction) {
      return;
    }
    const term = this.termAt(index) ?? snapshot.term;
    const { group } = newestGroup({ snapshot, entries: entries.filter((e) => e.index <= index) });
    this.#replace({
      ...this.#state,
      snapshot: { index, term, group, config: committed() },
      entries: entries.filter((e) => e.index > index),
    });
  }

  #replace(state: StoredReplica): void {
    this.#store.replace(state);
    this.#state = state;
    this.#newest = newestGroup(state);
  }

  #entryAt(index: number): LogEntry | undefined {
    return this.#state.entries[index - this.#state.snapshot.index - 1];
  }
}

/** The control group, and the entry that it comes from. */
interface NewestGroup {
  readonly index: number;
  readonly group: ControlGroup;
}

function newestGroup(from: Pick<StoredReplica, "snapshot" | "entries">): NewestGroup {
  for (const { index, body } of from.entries.toReversed()) {
    if (body.kind === "group") {
      return { index, group: body.group };
    }
  }
  return from.snapshot;
}

function emptyReplica(first: { id: ReplicaId; voters: readonly Voter[] }): StoredReplica {
  const index = first.voters.length > 0 ? 0 : BLANK_INDEX;
  const config = new ConfigState().snapshot();
  return {
    id: first.id,
    term: 0,
    votedFor: "",
    snapshot: { index, term: index, group: { voters: first.voters }, config },
    entries: [],
  };
}
