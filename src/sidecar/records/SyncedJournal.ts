import { mkdirSync, readFileSync } from "node:fs";
import { open, type FileHandle } from "node:fs/promises";
import { dirname } from "node:path";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";

/**
 * An append-only file of JSON lines. {@link append} resolves once its line is
 * synced to disk. Lines appended during a sync share the next one (group commit),
 * so the duration of a sync does not limit the rate of appends.
 */
export class SyncedJournal<T> implements IDisposable {
  readonly #path: string;
  #file: Promise<FileHandle> | undefined;
  #pending: { line: string; resolve: () => void; reject: (err: unknown) => void }[] = [];
  #flushing = false;

  constructor(path: string) {
    this.#path = path;
    mkdirSync(dirname(path), { recursive: true });
  }

  /** All complete lines of the file, oldest first. A last line truncated by a crash is dropped. */
  read(): T[] {
    let text: string;
    try {
      text = readFileSync(this.#path, "utf8");
    } catch {
      return []; // There is no file yet, or the disk was lost: the other replicas still have their records.
    }
    const entries: T[] = [];
    for (const line of text.split("\n")) {
      try {
        entries.push(JSON.parse(line) as T);
      } catch {
        // Truncated by a crash before its sync, so it was never acknowledged.
      }
    }
    return entries;
  }

  /** Replaces the file atomically by one with `entries`, to drop superseded and expired ones. */
  rewrite(entries: readonly T[]): void {
    writeFileSynced(this.#path, entries.map((e) => JSON.stringify(e) + "\n").join(""));
  }

  /** Appends one entry; resolves once it is synced to disk, rejects if the write or the sync fails. */
  append(entry: T): Promise<void> {
    return new Promise<void>((resolve, reject) => {
      this.#pending.push({ line: JSON.stringify(entry) + "\n", resolve, reject });
      if (!this.#flushing) {
        void this.#flush();
      }
    });
  }

  async dispose(): Promise<void> {
    const file = await this.#file?.catch(() => undefined);
    await file?.close();
  }

  async #flush(): Promise<void> {
    this.#flushing = true;
    while (this.#pending.length > 0) {
      const batch = this.#pending;
      this.#pending = [];
      try {
        this.#file ??= open(this.#path, "a");
        const file = await this.#file;
        await file.write(batch.map((write) => write.line).join(""));
        await file.datasync();
        batch.forEach((write) => {
          write.resolve();
        });
      } catch (err) {
        this.#file = undefined;
        batch.forEach((write) => {
          write.reject(err);
        });
      }
    }
    this.#flushing = false;
  }
}
