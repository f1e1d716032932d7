/** Multiple of its typical time that a run is allowed; a few in a thousand healthy runs take longer. */
const ALLOWANCE_FACTOR = 5.5;

/** The same for a request that can be retried at another target if its run is cut short. */
const RETRYABLE_ALLOWANCE_FACTOR = 3;

/**
 * Time to reserve for a run ahead of an event that would cut it short, ms.
 *
 * @param typicalMs typical time of runs of its kind, ms
 * @param isRetryable whether another attempt is possible if this one is cut short
 */
export function runAllowanceMs(typicalMs: number, isRetryable: boolean): number {
  return typicalMs * (isRetryable ? RETRYABLE_ALLOWANCE_FACTOR : ALLOWANCE_FACTOR);
}
