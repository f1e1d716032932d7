/** The health assessment of one target, from all evidence about it. */
export interface HealthAssessment {
  /** Should be removed from rotation. */
  readonly isGray: boolean;
  /** Probability that it fails a request. The targets with the lowest values stay in rotation when a minimum must remain. */
  readonly risk: number;
}
