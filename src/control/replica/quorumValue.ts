import type { ControlGroup } from "../log/ControlGroup.ts";
import type { Voter } from "../log/Voter.ts";

/**
 * The greatest value that a majority of the group, or of each half while it
 * changes, has reached; -Infinity for an empty group. `valueOf` gives one voter's.
 */
export function quorumValue(group: ControlGroup, valueOf: (voter: Voter) => number): number {
  const halves = group.next ? [group.voters, group.next] : [group.voters];
  const reached = halves.map((voters) => {
    const values = voters.map(valueOf).toSorted((a, b) => b - a);
    return values[Math.floor(voters.length / 2)] ?? -Infinity;
  });
  return Math.min(...reached);
}
