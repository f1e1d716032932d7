import type { LogLine } from "../logs/LogLine.ts";

/** What the logs tell of one request. */
export interface RequestTimeline {
  readonly attempt: string;
  /** In one sentence: what the caller was told, and why. */
  readonly cause: string;
  /** Lines about the request itself: first those of the process that took it, then those beside targets. */
  readonly steps: readonly LogLine[];
  /** What the processes concerned had come to believe shortly before. */
  readonly beliefs: readonly LogLine[];
  /** What one would expect in the logs and is not there. */
  readonly missing: readonly string[];
}
