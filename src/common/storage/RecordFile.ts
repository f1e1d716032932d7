import {
  closeSync,
  fdatasyncSync,
  ftruncateSync,
  openSync,
  readFileSync,
  statSync,
  writeSync,
} from "node:fs";
import { crc32 } from "node:zlib";
import { StorageError } from "./StorageError.ts";
import { writeFileSynced } from "./writeFileSynced.ts";

/**
 * A file of checksummed JSON lines, each synced as it is appended. After a loss of
 * power the last, unsynced line may be whole, torn or missing; {@link read} stops at
 * the first line whose checksum fails, since nobody was told of what follows.
 */
export class RecordFile<T> {
  readonly #path: string;
  #fd: number | undefined;
  /** Length up to which every line is known to be whole and synced, bytes. */
  #length = 0;

  constructor(path: string) {
    this.#path = path;
  }

  /** Bytes in the file. */
  get length(): number {
    return this.#length;
  }

  /** Every whole record, oldest first; empty when there is no file. */
  read(): T[] {
    let text: string;
    try {
      text = readFileSync(this.#path, "utf8");
    } catch (err) {
      if ((err as NodeJS.ErrnoException).code === "ENOENT") {
        return []; // The first start, or a lost disk: the caller tells them apart.
      }
      throw new StorageError(this.#path, err);
    }
    const records: T[] = [];
    for (const line of text.split("\n")) {
      const payload = line.slice(9);
      if (line.length < 9 || line.slice(0, 8) !== checksum(payload)) {
        break;
      }
      records.push(JSON.parse(payload) as T);
    }
    return records;
  }

  /** Replaces the file by `records`, atomically; later appends follow them. */
  rewrite(records: readonly T[]): void {
    this.close();
    try {
      writeFileSynced(this.#path, records.map((r) => toLine(r)).join(""));
      this.#length = statSync(this.#path).size;
    } catch (err) {
      throw new StorageError(this.#path, err);
    }
  }

  /** Appends one record and syncs it. When the disk refuses, the file is as it was before. */
  append(record: T): void {
    const line = Buffer.from(toLine(record));
    try {
      this.#fd ??= openSync(this.#path, "r+");
      for (let done = 0; done < line.length;) {
        done += writeSync(this.#fd, line, done, line.length - done, this.#length + done);
      }
      fdatasyncSync(this.#fd);
    } catch (err) {
      this.#cutBack();
      throw new StorageError(this.#path, err);
    }
    this.#length += line.length;
  }

  /** Closes the file; a later append opens it again. */
  close(): void {
    if (this.#fd !== undefined) {
      closeSync(this.#fd);
      this.#fd = undefined;
    }
  }

  /**
   * Takes back a line that was written in part when the disk filled up. If even that
   * fails, the next append overwrites it at the same place, and a reader meets a bad
   * checksum there and stops.
   */
  #cutBack(): void {
    try {
      if (this.#fd !== undefined) {
        ftruncateSync(this.#fd, this.#length);
      }
    } catch {
      this.close();
    }
  }
}

function toLine(record: unknown): string {
  const payload = JSON.stringify(record);
  return `${checksum(payload)} ${payload}\n`;
}

function checksum(payload: string): string {
  return crc32(payload).toString(16).padStart(8, "0");
}
