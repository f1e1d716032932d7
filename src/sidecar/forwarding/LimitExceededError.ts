/** A sender's bytes exceeded a limit on their size, number or time, so the connection is closed. */
export class LimitExceededError extends Error {
  override readonly name = "LimitExceededError";

  /** @param limit the limit and its value, as the log line and the verdict's reason name it */
  constructor(readonly limit: string) {
    super(`limit exceeded: ${limit}`);
  }
}
