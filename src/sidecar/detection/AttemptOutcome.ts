/** How one attempt at a target ended, as evidence about that target. */
export enum AttemptOutcome {
  /** A whole, correct answer below 500. */
  Ok = "ok",
  /** A whole answer that says the target failed: 5xx. */
  Failed = "failed",
  /** An answer cut short, in no known form, or another request's. */
  Wrong = "wrong",
  /** No answer at all: the connection was reset or refused. */
  NoAnswer = "no-answer",
  /** No answer by the time that its caller or its route gave it, which may have been short. */
  TimedOut = "timed-out",
  /** The target failed it after a call that it made in the midst of it was not served. Says nothing about its health. */
  CallLost = "call-lost",
  /** The target refused it for want of room, unrun. Says nothing about its health. */
  Shed = "shed",
  /** The caller left first. Says nothing about the target. */
  Cancelled = "cancelled",
}
