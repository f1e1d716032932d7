import type { AsyncFile } from "./AsyncFile.ts";
import type { Disk } from "./Disk.ts";
import { StorageError } from "./StorageError.ts";
import { systemDisk } from "./systemDisk.ts";
import type { IDisposable } from "../lifecycle/IDisposable.ts";

/** Appended to the path of a journal with corrupt lines, for the copy that is kept of it. */
const DAMAGED_SUFFIX = ".damaged";

/** An entry that is to be appended. */
interface PendingWrite {
  readonly line: string;
  readonly resolve: () => void;
  readonly reject: (err: unknown) => void;
}

/** Content of a journal. */
interface JournalContent<T> {
  /** Its entries, oldest first. */
  readonly entries: T[];
  /** Number of complete lines that can't be read: the file has been damaged. */
  readonly corruptLines: number;
}

/**
 * An append-only file of JSON lines. {@link append} resolves once its line is
 * synced to disk. Lines appended during a sync share the next one (group commit),
 * so the duration of a sync does not limit the rate of appends.
 */
export class SyncedJournal<T> implements IDisposable {
  readonly #path: string;
  readonly #disk: Disk;
  /** The open file; undefined until the next append, after a rewrite. */
  #file: Promise<AsyncFile> | undefined;
  /** Whether the file ends with a complete line, so that lines may be appended. */
  #isAppendable = false;
  /** Number of successful rewrites. */
  #rewrites = 0;
  #pending: PendingWrite[] = [];
  #isFlushing = false;

  /** @param disk the real file system, or a substitute in tests */
  constructor(path: string, disk: Disk = systemDisk) {
    this.#path = path;
    this.#disk = disk;
  }

  /**
   * Whether {@link rewrite} must succeed before the next append: before the first one, and after a failed write, which
   * may have left a part of a line behind.
   */
  get needsRewrite(): boolean {
    return !this.#isAppendable;
  }

  /**
   * Reads the file; it has no entries if it does not exist, as after the loss of its disk. A last line truncated by a
   * crash was never acknowledged, and is dropped. A journal with corrupt lines is copied before it can be rewritten.
   *
   * @throws StorageError if the file can't be read, or not be copied: its entries must not count as lost
   */
  read(): JournalContent<T> {
    const bytes = this.#readFile();
    const content = parseLines<T>(bytes?.toString() ?? "");
    if (bytes && content.corruptLines > 0) {
      this.#replace(this.#path + DAMAGED_SUFFIX, bytes);
    }
    return content;
  }

  /**
   * Replaces the file atomically by one with `entries`, which include those that are being appended.
   *
   * @throws StorageError if the file can't be replaced; it has its old or its new content then
   */
  rewrite(entries: readonly T[]): void {
    this.#isAppendable = false;
    // An open file is no longer the one at the path; what is appended to it would be lost.
    this.#closeFile();
    this.#replace(this.#path, Buffer.from(entries.map(toLine).join("")));
    this.#isAppendable = true;
    this.#rewrites += 1;
  }

  /** Appends one entry; resolves once it is synced to disk, rejects if the write or the sync fails. */
  append(entry: T): Promise<void> {
    return new Promise<void>((resolve, reject) => {
      this.#pending.push({ line: toLine(entry), resolve, reject });
      if (!this.#isFlushing) {
        void this.#flush();
      }
    });
  }

  async dispose(): Promise<void> {
    const file = await this.#file?.catch(() => undefined);
    await file?.close();
  }

  async #flush(): Promise<void> {
    this.#isFlushing = true;
    while (this.#pending.length > 0) {
      const batch = this.#pending;
      this.#pending = [];
      const result = await this.#write(batch.map((write) => write.line).join(""));
      for (const { resolve, reject } of batch) {
        if (result instanceof StorageError) {
          reject(result);
        } else {
          resolve();
        }
      }
    }
    this.#isFlushing = false;
  }

  /** Appends `text` and syncs it; returns the error if that fails. */
  async #write(text: string): Promise<StorageError | undefined> {
    if (this.needsRewrite) {
      return new StorageError(
        this.#path,
        "the end of the file is unknown until a rewrite succeeds",
      );
    }
    const rewrites = this.#rewrites;
    try {
      const file = await (this.#file ??= this.#disk.openAsync(this.#path));
      await file.append(text);
      await file.sync();
      return undefined;
    } catch (err) {
      if (this.#rewrites !== rewrites) {
        return undefined; // A rewrite has closed the file, and stored the text, meanwhile.
      }
      this.#isAppendable = false;
      this.#closeFile();
      return new StorageError(this.#path, err);
    }
  }

  #readFile(): Buffer | undefined {
    try {
      return this.#disk.read(this.#path);
    } catch (err) {
      throw new StorageError(this.#path, err, "read");
    }
  }

  #replace(path: string, bytes: Buffer): void {
    try {
      this.#disk.replace(path, bytes);
    } catch (err) {
      throw new StorageError(path, err);
    }
  }

  #closeFile(): void {
    const file = this.#file;
    this.#file = undefined;
    // An error of the close says nothing about what has been synced.
    void file?.then((f) => f.close()).catch(() => undefined);
  }
}

function toLine(entry: unknown): string {
  return JSON.stringify(entry) + "\n";
}

function parseLines<T>(text: string): JournalContent<T> {
  const entries: T[] = [];
  let corruptLines = 0;
  // What follows the last line break is a line truncated by a crash.
  for (const line of text.split("\n").slice(0, -1)) {
    try {
      entries.push(JSON.parse(line) as T);
    } catch {
      corruptLines += 1;
    }
  }
  return { entries, corruptLines };
}
