import type { ControlGroup } from "./ControlGroup.ts";
import type { Voter } from "./Voter.ts";

/** Every voter of the group once; during a membership change, the voters of the old and the next set. */
export function membersOf(group: ControlGroup): Voter[] {
  const members = new Map([...group.voters, ...(group.next ?? [])].map((v) => [v.id, v]));
  return [...members.values()];
}
