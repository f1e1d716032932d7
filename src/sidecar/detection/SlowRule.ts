/** When an answer counts as late; from the document, per service. */
export interface SlowRule {
  /** Slower than this many times the peers' median... */
  readonly slowFactor: number;
  /** ...and slower than the median by this much, ms. */
  readonly slowMinMs: number;
}
