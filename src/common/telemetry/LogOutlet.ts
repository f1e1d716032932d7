/** Where log lines leave the process. */
export interface LogOutlet {
  /** Writes without blocking; `done` hears how many bytes were taken. Bytes that a broken outlet cannot take count as taken. */
  write(chunk: Buffer, done: (taken: number) => void): void;
  /** Writes at once what can be written at once: the process is ending. */
  writeNow(chunk: Buffer): void;
}
