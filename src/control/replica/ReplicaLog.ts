import { mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";
import type { LogEntry } from "./LogEntry.ts";

const STATE_FILE = "replica-state.json";

/** How many accepted request ids are remembered; a resend older than this is judged by version alone. */
const REMEMBERED_REQUEST_IDS = 4096;

/** An accepted request and the version it became. */
type Answer = readonly [requestId: string, version: number];

/** Everything a replica must not forget. */
interface Stored {
  term: number;
  votedFor: string;
  /** The committed entry, then any that are not committed yet. */
  entries: LogEntry[];
  committed: number;
  answers: Answer[];
  /** Disk was lost: takes no part in votes or quorums until a leader has filled it in. */
  recovering: boolean;
  /** Votes in terms below this may have been cast before the disk was lost. */
  minVoteTerm: number;
}

const GENESIS: LogEntry = { index: 0, term: 0, version: 0, document: "", requestId: "" };

/** Terms that a replica abstains from after recovering: it may have voted in the next one and forgotten. */
const FORGOTTEN_TERMS = 2;

/**
 * A control replica's durable state. Every entry holds a whole document, so the
 * log is cut to the committed entry and what follows it, and a replica that
 * was away for hundreds of changes catches up in one message. Each change is
 * synced before the method returns: what was promised to others survives a crash.
 */
export class ReplicaLog {
  readonly #dir: string;
  #state: Stored;

  /** `bootstrap` says that this is the first start of all, when an empty disk is no loss. */
  constructor(dir: string, bootstrap: boolean) {
    this.#dir = dir;
    mkdirSync(dir, { recursive: true });
    this.#state = this.#load() ?? {
      term: 0,
      votedFor: "",
      entries: [GENESIS],
      committed: 0,
      answers: [],
      recovering: !bootstrap,
      minVoteTerm: 0,
    };
    this.#persist({});
  }

  get term(): number {
    return this.#state.term;
  }

  get votedFor(): string {
    return this.#state.votedFor;
  }

  get committed(): number {
    return this.#state.committed;
  }

  get recovering(): boolean {
    return this.#state.recovering;
  }

  /** The first term in which it knows of every vote that it has cast. */
  get minVoteTerm(): number {
    return this.#state.minVoteTerm;
  }

  /** May vote in `term`: knows of every vote it has cast there. */
  mayVoteIn(term: number): boolean {
    return !this.#state.recovering && term >= this.#state.minVoteTerm;
  }

  /** The committed entry: the document in force. */
  get base(): LogEntry {
    return this.#state.entries[0] ?? GENESIS;
  }

  /** The newest entry, committed or not. */
  get last(): LogEntry {
    return this.#state.entries.at(-1) ?? GENESIS;
  }

  get entries(): readonly LogEntry[] {
    return this.#state.entries;
  }

  get answers(): readonly Answer[] {
    return this.#state.answers;
  }

  /** Version that an accepted request became, if it is remembered. */
  versionFor(requestId: string): number | undefined {
    return this.#state.answers.find(([id]) => id === requestId)?.[1];
  }

  /** Enters a later term, in which it has voted for `votedFor`, or for none yet. */
  enterTerm(term: number, votedFor = ""): void {
    this.#persist({ term, votedFor });
  }

  /** Puts `entries` after the entry at `index`, dropping what stood there. */
  appendAfter(index: number, entries: readonly LogEntry[]): void {
    const kept = this.#state.entries.filter((e) => e.index <= index);
    this.#persist({ entries: [...kept, ...entries] });
  }

  /** Takes over a leader's whole state; ends a recovery. */
  replace(entries: readonly LogEntry[], answers: readonly Answer[], committed: number): void {
    const { recovering, term, minVoteTerm } = this.#state;
    // A new leader may not know yet that its newest entries are committed, while
    // this replica does: what is committed here stays so.
    const upTo = Math.max(committed, this.#state.committed);
    const known = new Set(answers.map(([id]) => id));
    const ownAnswers = this.#state.answers.filter(([id]) => !known.has(id));
    this.#persist({
      entries: entries.filter((e) => e.index >= upTo),
      answers: [...answers, ...ownAnswers],
      committed: upTo,
      recovering: false,
      minVoteTerm: recovering ? term + FORGOTTEN_TERMS : minVoteTerm,
    });
  }

  /** Marks entries up to `index` as committed; returns those newly committed. */
  commit(index: number): LogEntry[] {
    const fresh = this.#state.entries.filter(
      (e) => e.index > this.#state.committed && e.index <= index,
    );
    if (fresh.length > 0) {
      const answered = fresh
        .filter((e) => e.requestId !== "")
        .map((e): Answer => [e.requestId, e.version]);
      this.#persist({
        committed: index,
        entries: this.#state.entries.filter((e) => e.index >= index),
        answers: [...this.#state.answers, ...answered].slice(-REMEMBERED_REQUEST_IDS),
      });
    }
    return fresh;
  }

  #load(): Stored | undefined {
    try {
      return JSON.parse(readFileSync(join(this.#dir, STATE_FILE), "utf8")) as Stored;
    } catch {
      return undefined; // No file: the first start, or a lost disk.
    }
  }

  #persist(change: Partial<Stored>): void {
    this.#state = { ...this.#state, ...change };
    writeFileSynced(join(this.#dir, STATE_FILE), JSON.stringify(this.#state));
  }
}
