/** The disk refused a write: full, failing or gone. What was to be written is not durable. */
export class StorageError extends Error {
  /** `path` is the file that could not be written. */
  constructor(path: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`cannot write ${path}: ${reason}`, { cause });
    this.name = "StorageError";
  }
}
