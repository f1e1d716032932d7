import { crc32 } from "node:zlib";
import type { Disk, OpenFile } from "./Disk.ts";
import { StorageError } from "./StorageError.ts";
import { systemDisk } from "./systemDisk.ts";

/** Hex digits of a line's checksum, and the space after them. */
const CHECKSUM_CHARS = 8;
const PREFIX_CHARS = CHECKSUM_CHARS + 1;

/**
 * A file of checksummed JSON lines, each synced as it is appended. After a loss of
 * power the last, unsynced line may be whole, torn or missing; {@link read} stops at
 * the first line whose checksum fails, since nobody was told of what follows.
 */
export class RecordFile<T> {
  readonly #path: string;
  readonly #disk: Disk;
  #file: OpenFile | undefined;
  /**
   * Length up to which every line is known to be whole and synced, bytes. Undefined
   * while it is not known, before the first {@link rewrite} and after a failed one.
   */
  #length: number | undefined;

  /** `disk` is a test's own, or the real one. */
  constructor(path: string, disk: Disk = systemDisk) {
    this.#path = path;
    this.#disk = disk;
  }

  /** Bytes in the file, as far as known. */
  get length(): number {
    return this.#length ?? 0;
  }

  /** Every whole record, oldest first; empty when there is no file. */
  read(): T[] {
    const records: T[] = [];
    for (const line of this.#text().split("\n")) {
      const payload = line.slice(PREFIX_CHARS);
      if (line.length < PREFIX_CHARS || line.slice(0, CHECKSUM_CHARS) !== checksum(payload)) {
        break;
      }
      records.push(JSON.parse(payload) as T);
    }
    return records;
  }

  /** Replaces the file by `records`, atomically; later appends follow them. */
  rewrite(records: readonly T[]): void {
    this.close();
    // When this fails the old file may stand there or the new one. A line appended at
    // the old one's end would leave a hole in the new one, and all after it be lost.
    this.#length = undefined;
    const bytes = Buffer.from(records.map((r) => toLine(r)).join(""));
    try {
      this.#disk.replace(this.#path, bytes);
    } catch (err) {
      throw new StorageError(this.#path, err);
    }
    this.#length = bytes.length;
  }

  /**
   * Appends one record and syncs it. When the disk refuses, the record does not count:
   * the next one takes its place. Refused until a {@link rewrite} has succeeded.
   */
  append(record: T): void {
    if (this.#length === undefined) {
      throw new StorageError(this.#path, "its end is not known before it has been rewritten");
    }
    const line = Buffer.from(toLine(record));
    try {
      this.#file ??= this.#disk.open(this.#path);
      this.#file.write(line, this.#length);
      this.#file.sync();
    } catch (err) {
      this.#cutBack(this.#length);
      throw new StorageError(this.#path, err);
    }
    this.#length += line.length;
  }

  /** Closes the file; a later append opens it again. */
  close(): void {
    const file = this.#file;
    this.#file = undefined;
    file?.close();
  }

  #text(): string {
    try {
      return this.#disk.read(this.#path)?.toString() ?? "";
    } catch (err) {
      throw new StorageError(this.#path, err);
    }
  }

  /**
   * Takes back a line that was written in part when the disk filled up. If even that
   * fails, the next append overwrites it at the same place, and a reader meets a bad
   * checksum there and stops.
   */
  #cutBack(length: number): void {
    try {
      this.#file?.truncate(length);
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
  return crc32(payload).toString(16).padStart(CHECKSUM_CHARS, "0");
}
