/** Destination of the process's log output. */
export interface LogSink {
  /**
   * Writes without blocking and calls `done` with the number of bytes written. Bytes that can never be written, because
   * the sink is broken, count as written.
   */
  write(chunk: Buffer, done: (written: number) => void): void;
  /** Synchronously writes as much as possible without waiting; used when the process is ending. */
  writeNow(chunk: Buffer): void;
}
