/** A file that is open for appending without blocking the event loop. */
export interface AsyncFile {
  /** Appends `text` to the file. When it rejects, a part of it may have been written. */
  append(text: string): Promise<void>;
  /** Resolves once everything appended is durable, that is, survives a loss of power. */
  sync(): Promise<void>;
  close(): Promise<void>;
}
