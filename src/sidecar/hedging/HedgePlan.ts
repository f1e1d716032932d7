/** When a run is hedged. */
export interface HedgePlan {
  /** Time after the start of the run, ms. */
  readonly delayMs: number;
  /** Quantile of the route's response times that the delay is; undefined while it has not been learned. */
  readonly quantile: number | undefined;
}
