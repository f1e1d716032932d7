/** A call to another sidecar that is in progress. */
export interface PendingCall<T> {
  /**
   * Resolves with the result of the call; rejects when the connection is lost. A cancelled HTTP call rejects, and a
   * cancelled slot request stays pending.
   */
  readonly result: Promise<T>;
  /** Cancels the call and notifies the other sidecar. */
  cancel(): void;
}
