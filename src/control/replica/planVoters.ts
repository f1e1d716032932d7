import type { Voter } from "../log/Voter.ts";

/** One replica, as the leader sees it when it weighs the control group. */
export interface Candidate {
  readonly replica: Voter;
  /** Heard within the time after which a silent voter gives up its place. */
  readonly reachable: boolean;
  /** Its disk is known to be lost: its id will never answer again. */
  readonly gone: boolean;
  /** Holds every committed entry. */
  readonly caughtUp: boolean;
  /** How long ago it was heard, ms. */
  readonly silentMs: number;
}

/**
 * The control group as it should be; undefined when it is so already. Replicas that
 * have asked to be let in take the places that are free, then those of voters whose
 * disk is lost, then those of voters silent for longest. A voter keeps its place
 * while nobody can take it, so that the group never shrinks.
 *
 * @param wanted voters that the stated tolerance asks for
 * @param voters the group in force, the leader itself included
 * @param learners replicas outside it that have asked to be let in
 */
export function planVoters(
  wanted: number,
  voters: readonly Candidate[],
  learners: readonly Candidate[],
): readonly Voter[] | undefined {
  const size = Math.max(wanted, voters.length);
  const sound = voters.filter((v) => v.reachable && !v.gone).map((v) => v.replica);
  const lost = voters.filter((v) => v.gone || !v.reachable).toSorted(byHope);
  const group = [...sound];
  for (const newcomer of learners.filter((l) => l.caughtUp && l.reachable)) {
    if (group.length < size) {
      group.push(newcomer.replica);
    }
  }
  group.push(...lost.slice(0, Math.max(0, size - group.length)).map((v) => v.replica));
  const before = new Set(voters.map((v) => v.replica.id));
  return group.every((v) => before.has(v.id)) ? undefined : group;
}

/** Those that may come back soonest first: silent for shortest, and those whose disk is lost last. */
function byHope(a: Candidate, b: Candidate): number {
  return Number(a.gone) - Number(b.gone) || a.silentMs - b.silentMs;
}
