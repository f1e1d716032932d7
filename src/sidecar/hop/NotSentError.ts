/** A request between sidecars for which no connection could be opened: nothing of it has left this process. */
export class NotSentError extends Error {
  constructor(cause: Error) {
    super(`no connection: ${cause.message}`, { cause });
    this.name = "NotSentError";
  }
}
