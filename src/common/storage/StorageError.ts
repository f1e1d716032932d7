/** A file could not be read, or a write failed because the disk is full, failing or gone: its data is not durable. */
export class StorageError extends Error {
  /** @param path the file that could not be read or written */
  constructor(path: string, cause: unknown, operation: "read" | "write" = "write") {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`cannot ${operation} ${path}: ${reason}`, { cause });
    this.name = "StorageError";
  }
}
