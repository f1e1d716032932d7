/** A parsed line of a process's log: the properties common to all messages, and the message's own fields. */
export interface LogLine {
  /** Id of the process that wrote the line. */
  readonly process: string;
  /** Position in that process's log; orders the lines of one process, which their times of day may not. */
  readonly index: number;
  /** Time of day on that VM, as written in the log; meant for human readers. */
  readonly time: string;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
