/** In groups up to this size every replica must grant. */
const ALL_UP_TO = 3;

/**
 * How many of a record group must grant a claim: all but one, and all of a
 * small group. More than a majority, because two sidecars may have views of
 * the members that differ by a join and a leave: with four of five, any two
 * quorums from such views still share a replica, and a record granted by four
 * is still found after two of its replicas are lost at once.
 */
export function claimQuorum(groupSize: number): number {
  return groupSize <= ALL_UP_TO ? groupSize : groupSize - 1;
}
