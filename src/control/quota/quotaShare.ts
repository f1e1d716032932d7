import { hash32 } from "../../common/hash32.ts";
import type { BucketLimits } from "./BucketLimits.ts";
import type { ShareHolders } from "./ShareHolders.ts";

/** The quota of a workspace over the whole fleet. */
interface Quota {
  readonly ratePerS: number;
  readonly burst?: number;
}

/**
 * The part of a workspace's quota that this replica grants; undefined if it grants none. The parts of all replicas
 * together never exceed the quota by more than their bonuses, so that no replica has to know what another has granted.
 * A burst that is too small to give each replica a whole token is divided among fewer of them.
 */
export function quotaShare(
  workspace: string,
  { ratePerS, burst = 0 }: Quota,
  { self, ids, parts, bonus }: ShareHolders,
): BucketLimits | undefined {
  const capacity = burst / parts + bonus;
  if (capacity >= 1) {
    return { capacity, ratePerS: ratePerS / parts };
  }
  const holders = Math.max(1, Math.floor(burst + bonus * parts));
  const ranked = ids.toSorted((a, b) => rankOf(workspace, a) - rankOf(workspace, b));
  return ranked.slice(0, holders).includes(self)
    ? { capacity: Math.max(1, burst / holders), ratePerS: ratePerS / holders }
    : undefined;
}

function rankOf(workspace: string, id: string): number {
  return hash32(`${workspace}/${id}`);
}
