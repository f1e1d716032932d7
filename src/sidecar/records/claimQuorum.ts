/** In groups of up to this size every replica must grant a claim. */
const MAX_UNANIMOUS_SIZE = 3;

/**
 * Number of replicas of a record group that must grant a claim: all but one, or
 * all of a small group. It is more than a majority because the membership views
 * of two sidecars may differ by a join and a leave. With four of five, any two
 * quorums from such views still share a replica, and a record granted by four
 * is still found after the loss of two of its replicas at the same time.
 */
export function claimQuorum(groupSize: number): number {
  return groupSize <= MAX_UNANIMOUS_SIZE ? groupSize : groupSize - 1;
}
