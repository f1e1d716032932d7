/** One line of a process's log, as far as it tells of requests and beliefs. */
export interface LogLine {
  /** Id of the process that wrote it. */
  readonly process: string;
  /** Place in that process's log: lines of one process are in order, times of day need not be. */
  readonly index: number;
  /** Time of day on that VM, as written; only for people to read. */
  readonly time: string;
  readonly msg: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
