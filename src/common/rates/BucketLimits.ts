/** How a token bucket fills. */
export interface BucketLimits {
  /** Most tokens that the bucket holds. */
  readonly capacity: number;
  /** Tokens added each second. */
  readonly ratePerS: number;
}
