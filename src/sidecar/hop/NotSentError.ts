/** Thrown when no connection to another sidecar could be opened: no part of the request has left this process. */
export class NotSentError extends Error {
  constructor(cause: Error) {
    super(`no connection: ${cause.message}`, { cause });
    this.name = "NotSentError";
  }
}
