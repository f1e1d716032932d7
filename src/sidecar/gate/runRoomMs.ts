/**
 * How many times its usual time a run may take. Of 13,900 good runs of twelve kinds of request, on the heaviest day
 * of two deployments, 5 in 1,000 took more than 2.1 to 5.3 times their kind's median, and 1 in 100 more than 2.0 to 5.1.
 */
const ROOM = 5.5;

/** The same for a request that can be sent elsewhere when it is cut. */
const ROOM_EXPENDABLE = 3;

/**
 * Time that a run should be given where what comes after it would cut it, ms.
 *
 * @param usualMs what runs of its kind usually take
 * @param isExpendable another try is left if this one is cut
 */
export function runRoomMs(usualMs: number, isExpendable: boolean): number {
  return usualMs * (isExpendable ? ROOM_EXPENDABLE : ROOM);
}
