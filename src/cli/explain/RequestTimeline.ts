import type { LogLine } from "../logs/LogLine.ts";

/** The history of one request as reconstructed from the logs. */
export interface RequestTimeline {
  readonly attempt: string;
  /** One sentence: the outcome that the caller received, and why. */
  readonly cause: string;
  /** Log lines of the request: first those of the sidecar that received it, then those of the targets' sidecars. */
  readonly steps: readonly LogLine[];
  /** The latest state changes, such as ejections, of each process in `steps` before its first step there. */
  readonly beliefs: readonly LogLine[];
  /** Expected log entries that were not found. */
  readonly missing: readonly string[];
}
