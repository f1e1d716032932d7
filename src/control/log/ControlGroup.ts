import type { Voter } from "./Voter.ts";

/**
 * The replicas that vote. During a membership change there are two sets of voters, the
 * old and the next, and elections and commits need a majority of each (joint consensus;
 * Ongaro and Ousterhout 2014, section 6). Changing one replica at a time is simpler, but
 * requires either adding the new replica first or removing the lost one first. When two
 * machines are lost at once, either sequence can leave too few voters for a majority:
 * seeds 98 and 16 of the replica model showed both cases.
 */
export interface ControlGroup {
  readonly voters: readonly Voter[];
  /** The voters after the change; set only during a membership change. */
  readonly next?: readonly Voter[];
}
