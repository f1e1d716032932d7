import type { AsyncFile } from "./AsyncFile.ts";

/** A file that is open for writing at given offsets. */
export interface OpenFile {
  /** Writes all of `bytes` at `offset`. When it throws, some or none of them have been written. */
  write(bytes: Buffer, offset: number): void;
  /** Returns once everything written is durable, that is, survives a loss of power. */
  sync(): void;
  truncate(length: number): void;
  close(): void;
}

/** The file system operations that durable state needs. Each throws the system's error when it fails. */
export interface Disk {
  /** Returns the whole content of the file; undefined if it does not exist. */
  read(path: string): Buffer | undefined;
  /** Opens an existing file. */
  open(path: string): OpenFile;
  /** Opens an existing file, as {@link open} does, for appending. */
  openAsync(path: string): Promise<AsyncFile>;
  /**
   * Replaces the content of the file with `bytes`, durably, creating the file and its
   * folder if needed. After a failure the file has either its old or its new content, complete.
   * A file that is open keeps the content that was replaced.
   */
  replace(path: string, bytes: Buffer): void;
}
