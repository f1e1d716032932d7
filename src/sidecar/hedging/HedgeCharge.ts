/** Target time that was set aside for one hedge. */
export interface HedgeCharge {
  /** Expected target time of the hedge, ms. */
  readonly expectedMs: number;
  /** Replaces the expected target time by the actual one, ms; 0 if the hedge did not run. Only the first call counts. */
  settle(actualMs: number): void;
}
