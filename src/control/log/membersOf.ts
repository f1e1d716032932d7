import type { ControlGroup } from "./ControlGroup.ts";
import type { Voter } from "./Voter.ts";

/** Every replica of the group, once, those of both halves while it changes. */
export function membersOf(group: ControlGroup): Voter[] {
  const members = new Map([...group.voters, ...(group.next ?? [])].map((v) => [v.id, v]));
  return [...members.values()];
}
