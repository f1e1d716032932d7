/** What became of a request, and at which point its credit was lost. */
export type RequestOutcome =
  | "in time"
  /** Answered after its objective, most of the time in line for a slot. */
  | "late: in line"
  /** Answered after its objective, most of the time at the target. */
  | "late: at the target"
  /** Answered after its objective, and neither explains it: tries that failed, or the way. */
  | "late: otherwise"
  /** The target's own error, the first after it had answered well. */
  | "failed: first"
  | "failed: second in a row"
  | "failed: later in a row"
  /** The target's own error; it was known to be under suspicion when the slot was granted. */
  | "failed: known suspect"
  /** It reached a target, and no whole answer came back. */
  | "in doubt"
  | "refused: no room"
  | "refused: suspects only"
  | "refused: by the targets"
  | "refused: no document"
  | "refused: no target known"
  | "refused: not reached in time"
  | "refused: stopping"
  | "refused: otherwise"
  /** The caller left before the answer. */
  | "caller left"
  /** Its process ended before it was answered. */
  | "process ended";

/** One request of the logs, with what became of it. */
export interface AccountedRequest {
  readonly attempt: string;
  readonly route: string;
  /** The process that took it. */
  readonly origin: string;
  /** The target that it went to last; empty when it went to none. */
  readonly target: string;
  /** Seconds after the first line of the logs, by times of day. */
  readonly atS: number;
  readonly fate: RequestOutcome;
  /** Part of its credit that was lost: 0 to 1. */
  readonly lost: number;
}
