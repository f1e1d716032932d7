/** The outcome of a request, which also says at which stage its credit was lost. */
export type RequestOutcome =
  | "in time"
  /** Answered after its latency objective; more than half of the time was spent queued for a slot. */
  | "late: in line"
  /** Answered after its latency objective; more than half of the time was spent at the target. */
  | "late: at the target"
  /** Answered after its latency objective for another reason, such as failed attempts or network delay. */
  | "late: otherwise"
  /** The target responded with an error, its first one after a successful run. */
  | "failed: first"
  | "failed: second in a row"
  | "failed: later in a row"
  /** The target responded with an error, and was already suspect when the slot was granted. */
  | "failed: known suspect"
  /** The request reached a target, but no complete response came back. */
  | "in doubt"
  | "refused: no room"
  | "refused: suspects only"
  | "refused: by the targets"
  | "refused: no document"
  | "refused: no target known"
  | "refused: not reached in time"
  | "refused: stopping"
  | "refused: quarantined"
  | "refused: otherwise"
  /** The caller disconnected before the response. */
  | "caller left"
  /** The sidecar that received the request ended before it responded. */
  | "process ended";

/** One request found in the logs, with its outcome. */
export interface AccountedRequest {
  readonly attempt: string;
  readonly route: string;
  /** Id of the process that received the request. */
  readonly origin: string;
  /** Id of the last target that granted a slot; empty when none did. */
  readonly target: string;
  /** When it was answered, or else first granted a slot, in seconds after the earliest time of day in the logs. */
  readonly atS: number;
  readonly fate: RequestOutcome;
  /** Share of the request's credit that was lost, 0 to 1. */
  readonly lost: number;
}
