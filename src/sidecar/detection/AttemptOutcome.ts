/** How one attempt at a target ended, as evidence about the health of that target. */
export enum AttemptOutcome {
  /** A complete, valid response with a status below 500. */
  Ok = "ok",
  /** A complete response with a 5xx status. */
  Failed = "failed",
  /** A response that was truncated, malformed, or meant for another request. */
  InvalidResponse = "wrong",
  /** No response: the connection was reset or refused. */
  NoResponse = "no-answer",
  /** No response before the deadline set by the caller or the route, which may have been too short for the work. */
  TimedOut = "timed-out",
  /** The target failed it because a nested call was not served. No evidence about the target's health. */
  NestedCallFailed = "call-lost",
  /** The target had no capacity and rejected it without running it. No evidence about the target's health. */
  Shed = "shed",
  /** The caller disconnected first. No evidence about the target. */
  Cancelled = "cancelled",
}
