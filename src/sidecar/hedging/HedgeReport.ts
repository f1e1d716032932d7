import type { TargetId } from "../../common/ids/TargetId.ts";

/** How one hedge ended. Written to the log as it is, so its field names must stay. */
export interface HedgeReport {
  readonly first: TargetId;
  readonly second: TargetId;
  /** Which run's response was used; `none` if both failed. */
  readonly won: "first" | "second" | "none";
  /** Time after the start of the first run at which the hedge was due, ms. */
  readonly delayMs: number;
  /** Quantile of the route's response times that the delay is; undefined if it was not learned yet. */
  readonly quantile: number | undefined;
  /** Target time that the hedge is charged with, ms. */
  readonly workMs: number;
  /** How much longer the first run would have taken, as an estimate, ms; 0 unless the hedge won. */
  readonly savedMs: number;
}
