/** How many times its usual time a run may take: a few in a thousand good ones take longer. */
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
