import type { Voter } from "../log/Voter.ts";

/** A replica's state as known to the leader, from which it plans the control group. */
export interface Candidate {
  readonly replica: Voter;
  /** Acknowledged a message recently enough that it need not be replaced. */
  readonly reachable: boolean;
  /** Its disk is known to be lost, so its id will never reply again. */
  readonly diskLost: boolean;
  /** Holds every committed entry. */
  readonly caughtUp: boolean;
  /** Age of the latest message that it acknowledged, ms. */
  readonly silentMs: number;
}

/**
 * Plans the next control group; undefined if no replica has to be added. Learners fill
 * free places first, then replace voters whose disk is lost, then the voters that have
 * been unreachable for longest. A voter without a replacement stays in the group, so that
 * the group never shrinks.
 *
 * @param wanted number of voters needed for the configured fault tolerance
 * @param voters the current voters, the leader included
 * @param learners replicas outside the group that have requested to join it
 */
export function planVoters(
  wanted: number,
  voters: readonly Candidate[],
  learners: readonly Candidate[],
): readonly Voter[] | undefined {
  const size = Math.max(wanted, voters.length);
  const healthy = voters.filter((v) => v.reachable && !v.diskLost).map((v) => v.replica);
  const unavailable = voters.filter((v) => v.diskLost || !v.reachable).toSorted(byExpectedReturn);
  const group = [...healthy];
  for (const learner of learners.filter((l) => l.caughtUp && l.reachable)) {
    if (group.length < size) {
      group.push(learner.replica);
    }
  }
  group.push(...unavailable.slice(0, Math.max(0, size - group.length)).map((v) => v.replica));
  const currentIds = new Set(voters.map((v) => v.replica.id));
  return group.every((v) => currentIds.has(v.id)) ? undefined : group;
}

/** Orders unavailable voters by how likely they are to return: shortest silence first, lost disks last. */
function byExpectedReturn(a: Candidate, b: Candidate): number {
  return Number(a.diskLost) - Number(b.diskLost) || a.silentMs - b.silentMs;
}
