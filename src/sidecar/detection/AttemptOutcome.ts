/** How one attempt at a target ended, as evidence about that target. */
export enum AttemptOutcome {
  /** A whole, correct answer below 500. */
  Ok = "ok",
  /** A whole answer that blames the target: 5xx, cut short, or another request's answer. */
  Failed = "failed",
  /** No answer at all: reset, refused, or silent until the timeout. The path may be at fault. */
  NoAnswer = "no-answer",
  /** The target refused it for want of room, unrun. Says nothing about its health. */
  Shed = "shed",
  /** The caller left first. Says nothing about the target. */
  Cancelled = "cancelled",
}
