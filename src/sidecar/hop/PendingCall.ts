/** Something asked of another sidecar. */
export interface PendingCall<T> {
  /** The answer; rejects when the connection is lost, or when given up. */
  readonly answer: Promise<T>;
  /** Ends it from this side; the other side hears of it. */
  giveUp(): void;
}
