import type bunyan from "bunyan";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import { recordAttempt } from "./recordAttempt.ts";
import { RefusedKeys } from "./RefusedKeys.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { SyncedJournal } from "../../common/storage/SyncedJournal.ts";

/** One line of the journal. Without a record, the key was released. */
interface JournalEntry {
  readonly key: string;
  /** When it was written, on the monotonic clock of the process that wrote it, ms. */
  readonly at: number;
  readonly record?: RunRecord;
}

interface HeldRecord {
  readonly at: number;
  readonly record: RunRecord;
}

/** How long a record is kept after its last change, ms. Resends arrive within minutes. */
const RETENTION_MS = 3_600_000;

/** The journal is rewritten when it has more than this many lines that are no longer needed. */
const MAX_STALE_LINES = 10_000;

/**
 * One replica's records of non-idempotent requests. With a journal (on a VM with
 * a disk) each change is synced before it is acknowledged, so it survives a
 * crash and a power loss. Without one, only the other replicas' copies survive.
 */
export class RunRecords implements IDisposable {
  readonly #journal: SyncedJournal<JournalEntry> | undefined;
  readonly #now: () => number;
  readonly #log: Pick<bunyan, "error"> | undefined;
  readonly #held = new Map<string, HeldRecord>();
  readonly #refusedKeys: RefusedKeys;
  #staleLines = 0;

  /**
   * @param now reads the monotonic clock, ms
   * @throws StorageError if the journal can't be read
   */
  constructor(
    journal: SyncedJournal<JournalEntry> | undefined,
    now: () => number,
    log?: Pick<bunyan, "error">,
  ) {
    this.#journal = journal;
    this.#now = now;
    this.#log = log;
    this.#refusedKeys = new RefusedKeys(now);
    const { entries, corruptLines } = journal?.read() ?? { entries: [], corruptLines: 0 };
    if (corruptLines > 0) {
      log?.error({ corruptLines, read: entries.length }, "journal of records is damaged");
    }
    for (const entry of entries) {
      this.#apply(toCurrentClock(entry, now()));
    }
    this.compact();
  }

  /** Number of records. */
  get size(): number {
    return this.#held.size;
  }

  /**
   * Claims `key` for the attempt in `claimRecord`, unless there is a record of another attempt, or one that began
   * later has been refused.
   *
   * @param startedAt when the attempt arrived at its first sidecar, ms
   */
  async claim(key: string, claimRecord: RunRecord, startedAt = this.#now()): Promise<ClaimReply> {
    const held = this.#held.get(key);
    if (held && !isReplacedBy(held.record, claimRecord)) {
      return { kind: "held", record: held.record };
    }
    if (this.#refusedKeys.bars(key, startedAt)) {
      return { kind: "refused" };
    }
    await this.#persist({ key, at: this.#now(), record: claimRecord });
    return { kind: "granted" };
  }

  /**
   * Bars attempts that began before `startedAt` (ms) from claiming `key`, until the deadline in `record`; if another
   * attempt holds the key, returns its record instead.
   */
  refuse(key: string, { attempt, deadlineAt }: RunRecord, startedAt: number): Promise<ClaimReply> {
    const held = this.#held.get(key);
    if (held && held.record.attempt !== attempt) {
      return Promise.resolve({ kind: "held", record: held.record });
    }
    this.#refusedKeys.add(key, startedAt, deadlineAt);
    return Promise.resolve({ kind: "granted" });
  }

  /** Stores the outcome of an attempt; `undefined` means that it did not run, and releases the key. */
  async settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void> {
    const held = this.#held.get(key);
    if (held && held.record.attempt !== attempt) {
      // Another attempt holds the key here, and its record is the more informative one.
      return;
    }
    await this.#persist({ key, at: this.#now(), record });
  }

  /** Stores a copy from another replica, if there is no record here yet or only a claim that the copy settles. */
  async adopt(key: string, record: RunRecord): Promise<void> {
    const held = this.#held.get(key);
    if (!held || (held.record.state === "claimed" && record.state !== "claimed")) {
      await this.#persist({ key, at: this.#now(), record });
    }
  }

  /** All records, for the handover to new replicas. */
  entries(): { key: string; record: RunRecord }[] {
    return [...this.#held].map(([key, { record }]) => ({ key, record }));
  }

  /** Drops records older than {@link RETENTION_MS}. Must be called periodically. */
  expire(): void {
    this.#refusedKeys.expire();
    const cutoff = this.#now() - RETENTION_MS;
    for (const [key, { at }] of this.#held) {
      if (at < cutoff) {
        this.#held.delete(key);
        this.#staleLines += 1;
      }
    }
    if (this.#staleLines > MAX_STALE_LINES) {
      this.compact();
    }
  }

  /** Compacts the journal; until that succeeds, on a full disk for example, no record is accepted. */
  compact(): void {
    try {
      this.#rewriteJournal();
    } catch (err) {
      this.#log?.error({ err }, "journal of records not rewritten");
    }
  }

  async dispose(): Promise<void> {
    await this.#journal?.dispose();
  }

  async #persist(entry: JournalEntry): Promise<void> {
    // In memory first: a second claim that arrives during the sync must find this one.
    this.#apply(entry);
    if (this.#journal?.needsRewrite) {
      this.#rewriteJournal(); // The new file contains the entry.
    } else {
      await this.#journal?.append(entry);
    }
  }

  #apply(entry: JournalEntry): void {
    if (this.#held.has(entry.key)) {
      this.#staleLines += 1;
    }
    if (entry.record) {
      this.#held.set(entry.key, { at: entry.at, record: entry.record });
    } else {
      this.#held.delete(entry.key);
      this.#staleLines += 1;
    }
  }

  #rewriteJournal(): void {
    this.#journal?.rewrite([...this.#held].map(([key, held]) => ({ key, ...held })));
    this.#staleLines = 0;
  }
}

/** Whether a claim replaces a record: that of the same attempt, or a claim that the same dispatch left behind. */
function isReplacedBy(held: RunRecord, claim: RunRecord): boolean {
  const isLeftBehind =
    held.state === "claimed" && recordAttempt.isSameDispatch(held.attempt, claim.attempt);
  return isLeftBehind || held.attempt === claim.attempt;
}

/**
 * Converts the times of an entry written by an earlier incarnation to this one's monotonic
 * clock. How long the process was down is unknown, as the wall clock may have been changed,
 * so an attempt keeps all the time that it had left: its claim may hold too long, but never
 * too short.
 */
function toCurrentClock(entry: JournalEntry, now: number): JournalEntry {
  const { record } = entry;
  if (!record) {
    return { ...entry, at: now };
  }
  const remainingMs = Math.max(0, record.deadlineAt - entry.at);
  return { ...entry, at: now, record: { ...record, deadlineAt: now + remainingMs } };
}
