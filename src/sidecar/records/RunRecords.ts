import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { SyncedJournal } from "./SyncedJournal.ts";

/** One line of the journal; without a record, the key was released. */
interface JournalEntry {
  readonly key: string;
  /** When it was written, by the steady clock of the process that wrote it, ms. */
  readonly at: number;
  readonly record?: RunRecord;
}

interface Held {
  readonly at: number;
  readonly record: RunRecord;
}

/** How long a record is kept after its last change, ms: resends come within minutes. */
const RETENTION_MS = 3_600_000;

/** The journal is rewritten when it has this many lines more than live records. */
const COMPACT_AFTER = 10_000;

/**
 * One replica's records of non-idempotent requests. With a journal (a VM with
 * a disk) each change is synced before it is acknowledged, so it survives a
 * kill and a power loss; without one, the other replicas' copies must do.
 */
export class RunRecords implements IDisposable {
  readonly #journal: SyncedJournal<JournalEntry> | undefined;
  readonly #now: () => number;
  readonly #held = new Map<string, Held>();
  #stale = 0;

  /** `now` is the steady clock, ms. */
  constructor(journal: SyncedJournal<JournalEntry> | undefined, now: () => number) {
    this.#journal = journal;
    this.#now = now;
    for (const entry of journal?.read() ?? []) {
      this.#apply(rebase(entry, now()));
    }
    this.#compact();
  }

  /** Records kept now. */
  get size(): number {
    return this.#held.size;
  }

  /** Claims `key` for an attempt, unless another attempt has been there. */
  async claim(key: string, wanted: RunRecord): Promise<ClaimReply> {
    const held = this.#held.get(key);
    if (held && held.record.attempt !== wanted.attempt) {
      return { kind: "held", record: held.record };
    }
    await this.#write({ key, at: this.#now(), record: wanted });
    return { kind: "granted" };
  }

  /** Records how an attempt ended; `undefined` releases the key, since it did not run. */
  async settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void> {
    const held = this.#held.get(key);
    if (held && held.record.attempt !== attempt) {
      // Another attempt holds it here; its record says more about the key than ours.
      return;
    }
    await this.#write({ key, at: this.#now(), record });
  }

  /** Takes over a copy from another replica, unless it is older news than what is here. */
  async adopt(key: string, record: RunRecord): Promise<void> {
    const held = this.#held.get(key);
    if (!held || (held.record.state === "claimed" && record.state !== "claimed")) {
      await this.#write({ key, at: this.#now(), record });
    }
  }

  /** Every record, for handing over to new replicas. */
  entries(): { key: string; record: RunRecord }[] {
    return [...this.#held].map(([key, { record }]) => ({ key, record }));
  }

  /** Drops records past {@link RETENTION_MS}; call now and then. */
  expire(): void {
    const cutoff = this.#now() - RETENTION_MS;
    for (const [key, { at }] of this.#held) {
      if (at < cutoff) {
        this.#held.delete(key);
        this.#stale += 1;
      }
    }
    if (this.#stale > COMPACT_AFTER) {
      this.#compact();
    }
  }

  async dispose(): Promise<void> {
    await this.#journal?.dispose();
  }

  async #write(entry: JournalEntry): Promise<void> {
    // In memory first: a second claim that comes during the sync must see this one.
    this.#apply(entry);
    await this.#journal?.append(entry);
  }

  #apply(entry: JournalEntry): void {
    if (this.#held.has(entry.key)) {
      this.#stale += 1;
    }
    if (entry.record) {
      this.#held.set(entry.key, { at: entry.at, record: entry.record });
    } else {
      this.#held.delete(entry.key);
      this.#stale += 1;
    }
  }

  #compact(): void {
    this.#stale = 0;
    this.#journal?.rewrite([...this.#held].map(([key, held]) => ({ key, ...held })));
  }
}

/**
 * An entry of an earlier life of the process, in this one's time. How long the process
 * was down cannot be told (the time of day may have jumped), so all the time that an
 * attempt had left counts as left still: a claim is believed for too long, never too short.
 */
function rebase(entry: JournalEntry, now: number): JournalEntry {
  const { record } = entry;
  if (!record) {
    return { ...entry, at: now };
  }
  const leftMs = Math.max(0, record.deadlineAt - entry.at);
  return { ...entry, at: now, record: { ...record, deadlineAt: now + leftMs } };
}
