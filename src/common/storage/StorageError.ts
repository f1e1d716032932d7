/** A write failed because the disk is full, failing or gone. The data is not durable. */
export class StorageError extends Error {
  /** @param path The file that could not be written. */
  constructor(path: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`cannot write ${path}: ${reason}`, { cause });
    this.name = "StorageError";
  }
}
