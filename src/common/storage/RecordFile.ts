import { crc32 } from "node:zlib";
import type { Disk, OpenFile } from "./Disk.ts";
import { StorageError } from "./StorageError.ts";
import { systemDisk } from "./systemDisk.ts";

/** Number of hex digits of a line's checksum; the prefix also has the space that follows them. */
const CHECKSUM_CHARS = 8;
const PREFIX_CHARS = CHECKSUM_CHARS + 1;

/**
 * A file of checksummed JSON lines, each synced when it is appended. After a loss of
 * power, the last, unsynced line may be complete, torn or missing. Complete lines after
 * one whose checksum fails show that the file has been damaged.
 */
export class RecordFile<T> {
  readonly #path: string;
  readonly #disk: Disk;
  #file: OpenFile | undefined;
  /**
   * Length up to which every line is known to be complete and synced, bytes. Undefined
   * while that is unknown: before the first {@link rewrite} and after a failed one.
   */
  #length: number | undefined;

  /** `disk` is the real file system, or a substitute in tests. */
  constructor(path: string, disk: Disk = systemDisk) {
    this.#path = path;
    this.#disk = disk;
  }

  /** Length of the file, bytes; 0 while it is unknown. */
  get length(): number {
    return this.#length ?? 0;
  }

  /**
   * Returns every complete record, oldest first; empty if there is no file.
   *
   * @throws StorageError if the file can't be read, or acknowledged records in the middle of it are damaged
   */
  read(): T[] {
    const lines = [...this.#readText().split("\n"), ""];
    const end = lines.findIndex((line) => !isComplete(line));
    if (lines.slice(end).some(isComplete)) {
      const cause = `line ${end + 1} is damaged, and complete ones follow it`;
      throw new StorageError(this.#path, cause, "read");
    }
    return lines.slice(0, end).map((line) => JSON.parse(line.slice(PREFIX_CHARS)) as T);
  }

  /** Replaces the content of the file with `records`, atomically; later appends follow them. */
  rewrite(records: readonly T[]): void {
    this.close();
    // After a failure either the old or the new file may be in place. A line appended at
    // the old file's end would leave a hole in the new one, and be lost with all lines after it.
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
   * Appends one record and syncs it. When it throws, the record does not count as
   * stored, and the next one is written in its place. Throws until a {@link rewrite}
   * has succeeded.
   */
  append(record: T): void {
    if (this.#length === undefined) {
      throw new StorageError(this.#path, "the end of the file is unknown until a rewrite succeeds");
    }
    const line = Buffer.from(toLine(record));
    try {
      this.#file ??= this.#disk.open(this.#path);
      this.#file.write(line, this.#length);
      this.#file.sync();
    } catch (err) {
      this.#truncateTo(this.#length);
      throw new StorageError(this.#path, err);
    }
    this.#length += line.length;
  }

  /** Closes the file; a later append reopens it. */
  close(): void {
    const file = this.#file;
    this.#file = undefined;
    file?.close();
  }

  #readText(): string {
    try {
      return this.#disk.read(this.#path)?.toString() ?? "";
    } catch (err) {
      throw new StorageError(this.#path, err, "read");
    }
  }

  /**
   * Removes a line that was written partially, for example when the disk filled up. If
   * that fails too, the next append overwrites the line at the same offset; until then, a
   * reader finds an invalid checksum there and stops.
   */
  #truncateTo(length: number): void {
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

/** Whether a line, without its line break, is as it was written. */
function isComplete(line: string): boolean {
  const payload = line.slice(PREFIX_CHARS);
  return line.length >= PREFIX_CHARS && line.slice(0, CHECKSUM_CHARS) === checksum(payload);
}

function checksum(payload: string): string {
  return crc32(payload).toString(16).padStart(CHECKSUM_CHARS, "0");
}
