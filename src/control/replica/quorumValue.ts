import type { ControlGroup } from "../log/ControlGroup.ts";
import type { Voter } from "../log/Voter.ts";

/**
 * The greatest value that a majority of the voters has reached; during a membership
 * change, a majority of both the old and the next voters. -Infinity for an empty group.
 *
 * @param valueOf returns the value of one voter
 */
export function quorumValue(group: ControlGroup, valueOf: (voter: Voter) => number): number {
  const voterSets = group.next ? [group.voters, group.next] : [group.voters];
  const reached = voterSets.map((voters) => {
    const values = voters.map(valueOf).toSorted((a, b) => b - a);
    return values[Math.floor(voters.length / 2)] ?? -Infinity;
  });
  return Math.min(...reached);
}
