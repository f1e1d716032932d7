import { hash32 } from "../../../common/hash32.ts";
import type { RankedSidecar } from "./RankedSidecar.ts";

/** Number of workspaces whose rankings are kept. */
const MAX_CACHED = 4096;

/**
 * Ranks the live sidecars for each workspace by rendezvous hashing: all sidecars with the same view agree, and when one
 * joins or leaves, only the workspaces that it is first for change their holder.
 */
export class HolderRanking {
  readonly #sidecars: () => readonly RankedSidecar[];
  #known: readonly RankedSidecar[] = [];
  readonly #rankings = new Map<string, readonly RankedSidecar[]>();

  /** @param sidecars returns the same array for as long as the view of the members has not changed */
  constructor(sidecars: () => readonly RankedSidecar[]) {
    this.#sidecars = sidecars;
  }

  /** The sidecars, in the order in which they are asked for credits of `workspace`. */
  of(workspace: string): readonly RankedSidecar[] {
    const sidecars = this.#sidecars();
    if (sidecars !== this.#known || this.#rankings.size >= MAX_CACHED) {
      this.#known = sidecars;
      this.#rankings.clear();
    }
    let ranking = this.#rankings.get(workspace);
    if (!ranking) {
      const hashed = sidecars.map((s) => ({ s, hash: hash32(`${workspace}/${s.id}`) }));
      ranking = hashed.sort((a, b) => b.hash - a.hash).map(({ s }) => s);
      this.#rankings.set(workspace, ranking);
    }
    return ranking;
  }
}
