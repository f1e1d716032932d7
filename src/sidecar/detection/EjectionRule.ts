/** How long ejections last; from the document, per service. */
export interface EjectionRule {
  /** The first ejection, ms. */
  readonly ejectMs: number;
  /** Longest ejection, ms. */
  readonly maxEjectMs: number;
  /** Time over which a readmitted target's share grows back to full, ms. */
  readonly rampMs: number;
}
