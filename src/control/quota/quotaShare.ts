import { hash32 } from "../../common/hash32.ts";
import type { QuotaTolerance } from "../../common/settings/QuotaTolerance.ts";
import type { BucketLimits } from "../../common/rates/BucketLimits.ts";
import type { ShareHolders } from "./ShareHolders.ts";

/** The quota of a workspace over the whole fleet. */
interface Quota {
  readonly ratePerS: number;
  readonly burst?: number;
}

/** The part of a quota that one replica grants. */
export interface QuotaShare extends BucketLimits {
  /** Tokens that the bucket holds when the replica starts. */
  readonly initial: number;
  /** Whether the replicas that have a part depend on who else is in the group. */
  readonly isRanked: boolean;
}

/** Used part of the tolerated ratio. The rest covers replicas that have been removed while they were suspended. */
const RATIO_USE = 0.5;

/** Part of the tolerated requests by which the rate is raised. */
const RATE_USE = 0.4;

/**
 * Part of the tolerated requests by which the burst is raised, so that the buckets of all replicas hold whole tokens.
 * As much again is in the buckets after a restart of every replica.
 */
const BURST_USE = 0.25;

/**
 * The part of a workspace's quota that this replica grants; undefined if it grants none. The parts of all replicas
 * together stay within the quota and its tolerance, so that no replica has to know what another has granted. A burst
 * that is too small to give each replica a whole token is divided among fewer of them.
 */
export function quotaShare(
  workspace: string,
  quota: Quota,
  { self, ids, parts }: ShareHolders,
  tolerance: QuotaTolerance,
): QuotaShare | undefined {
  const { ratePerS, burst } = tolerated(quota, tolerance);
  const bonus = tolerance.requests * BURST_USE;
  const initial = Math.min(1, bonus / parts);
  const capacity = burst / parts + initial;
  if (capacity >= 1) {
    return { capacity, ratePerS: ratePerS / parts, initial, isRanked: false };
  }
  const holders = Math.max(1, Math.floor(burst + bonus));
  const ranked = ids.toSorted((a, b) => rankOf(workspace, a) - rankOf(workspace, b));
  if (!ranked.slice(0, holders).includes(self)) {
    return undefined;
  }
  const limits = { capacity: Math.max(1, burst / holders), ratePerS: ratePerS / holders };
  return { ...limits, initial: 0, isRanked: true };
}

/** The quota, raised by the parts of the tolerance that are used. */
function tolerated({ ratePerS, burst = 0 }: Quota, tolerance: QuotaTolerance): Required<Quota> {
  const factor = 1 + tolerance.ratio * RATIO_USE;
  const extraPerS = (tolerance.requests * RATE_USE) / (tolerance.windowMs / 1000);
  return { ratePerS: ratePerS * factor + extraPerS, burst: burst * factor };
}

function rankOf(workspace: string, id: string): number {
  return hash32(`${workspace}/${id}`);
}
