/** A file open for writing at given places. */
export interface OpenFile {
  /** Writes all of `bytes` at `offset`, or throws having written a part of them or none. */
  write(bytes: Buffer, offset: number): void;
  /** Returns once everything written survives a loss of power. */
  sync(): void;
  truncate(length: number): void;
  close(): void;
}

/** The file system, as far as durable state needs it. Every call throws what the system says when it refuses. */
export interface Disk {
  /** The whole file; undefined when there is none. */
  read(path: string): Buffer | undefined;
  /** Opens a file that exists. */
  open(path: string): OpenFile;
  /**
   * Puts `bytes` in place of the file, durably, creating it and its folder where need
   * be. After a failure the file is the old one or the new one, whole either way.
   */
  replace(path: string, bytes: Buffer): void;
}
