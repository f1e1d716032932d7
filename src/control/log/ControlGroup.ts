import type { Voter } from "./Voter.ts";

/**
 * The replicas whose word counts. While the group changes it has two halves, the
 * old and the next, and everything needs a majority of each (joint consensus;
 * Ongaro and Ousterhout 2014, section 6). Changing one replica at a time is simpler,
 * but has to either add the newcomer before or remove the lost one first, and with
 * two machines lost at once both orders can leave too few (the model's seeds 98 and 16).
 */
export interface ControlGroup {
  readonly voters: readonly Voter[];
  /** The group that is to follow, while it changes. */
  readonly next?: readonly Voter[];
}
