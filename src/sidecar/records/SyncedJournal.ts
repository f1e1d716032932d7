import { mkdirSync, readFileSync } from "node:fs";
import { open, type FileHandle } from "node:fs/promises";
import { dirname } from "node:path";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";

/**
 * An append-only file of JSON lines. {@link append} resolves once its line is
 * synced to disk; lines that come while a sync is under way share the next one
 * (group commit), so the disk's sync time does not bound the rate.
 */
export class SyncedJournal<T> implements IDisposable {
  readonly #path: string;
  #file: Promise<FileHandle> | undefined;
  #waiting: { line: string; resolve: () => void; reject: (err: unknown) => void }[] = [];
  #flushing = false;

  constructor(path: string) {
    this.#path = path;
    mkdirSync(dirname(path), { recursive: true });
  }

  /** Every whole line in the file, oldest first; a torn last line (a crash mid-write) is dropped. */
  read(): T[] {
    let text: string;
    try {
      text = readFileSync(this.#path, "utf8");
    } catch {
      return []; // No file yet, or a lost disk: the other replicas' records still hold.
    }
    const entries: T[] = [];
    for (const line of text.split("\n")) {
      try {
        entries.push(JSON.parse(line) as T);
      } catch {
        // Torn by a crash before its sync, so never acknowledged to anyone.
      }
    }
    return entries;
  }

  /** Replaces the file by `entries`, atomically: drops what has been superseded or has expired. */
  rewrite(entries: readonly T[]): void {
    writeFileSynced(this.#path, entries.map((e) => JSON.stringify(e) + "\n").join(""));
  }

  /** Appends one entry; resolves once it is synced, rejects when the disk refuses it. */
  append(entry: T): Promise<void> {
    return new Promise<void>((resolve, reject) => {
      this.#waiting.push({ line: JSON.stringify(entry) + "\n", resolve, reject });
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
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      try {
        this.#file ??= open(this.#path, "a");
        const file = await this.#file;
        await file.write(batch.map((w) => w.line).join(""));
        await file.datasync();
        batch.forEach((w) => {
          w.resolve();
        });
      } catch (err) {
        this.#file = undefined;
        batch.forEach((w) => {
          w.reject(err);
        });
      }
    }
    this.#flushing = false;
  }
}
