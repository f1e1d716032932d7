/** How many times its usual time a run may take: a few in a thousand good ones take longer. */
const ALLOWANCE_FACTOR = 5.5;

/** The same for a request that can be sent elsewhere when it is cut. */
const EXPENDABLE_ALLOWANCE_FACTOR = 3;

/**
 * Time that a run should be given where what comes after it would cut it, ms.
 *
 * @param typicalMs what runs of its kind usually take
 * @param isExpendable another try is left if this one is cut
 */
export function runRoomMs(typicalMs: number, isExpendable: boolean): number {
  return typicalMs * (isExpendable ? EXPENDABLE_ALLOWANCE_FACTOR : ALLOWANCE_FACTOR);
}
