import type { Evidence } from "./Evidence.ts";
import type { Judgement } from "./Judgement.ts";
import { RECENT_MS } from "./RECENT_MS.ts";

/** One observer's word counts for at most this share of the threshold, so no observer ejects for others alone. */
const OBSERVER_CAP = 0.6;

/**
 * What a failing health check adds, as a share of the threshold: for it lags and
 * lies, not enough by itself, nor with one observer's word.
 */
const PROBE_SHARE = 0.35;

/** An observer with this many good answers lately, and no bad one, vouches for the target. */
const VOUCHING_ANSWERS = 2;

/** A late score above this is more than one stray late answer wears off from. */
const LATE_WITNESS_SCORE = 2;

/**
 * Weighs what several sidecars saw of one target.
 *
 * - Own evidence at the threshold: this sidecar avoids the target, whoever
 *   else can reach it, since its own callers cannot be served there.
 * - Failed answers prove the path works, so they blame the target: they add up
 *   over observers, each capped, so two at least must agree.
 * - Late or missing answers may come of a cut path (a one-way partition, a
 *   connection a middlebox forgot): they count for others only where more
 *   observers find it late than vouch for it, and half of the group at least
 *   has been heard, so that a cut-off sidecar, or a cut-off zone of them, does
 *   not eject a healthy target for everyone.
 *
 * @param groupSize sidecars concerned with the target's service, this one included
 */
export function combineEvidence(
  own: Evidence | undefined,
  others: readonly Evidence[],
  probeFailing: boolean,
  threshold: number,
  groupSize: number,
): Judgement {
  const cap = threshold * OBSERVER_CAP;
  let failures = 0;
  let late = 0;
  let lateWitnesses = 0;
  let vouching = 0;
  for (const e of own ? [own, ...others] : others) {
    failures += Math.min(e.failureScore, cap);
    late += Math.min(e.lateScore, cap);
    if (e.lateScore >= LATE_WITNESS_SCORE) {
      lateWitnesses += 1;
    } else if (e.recentOk >= VOUCHING_ANSWERS && e.lastBadAgeMs > RECENT_MS) {
      vouching += 1;
    }
  }
  const heard = others.length + 1;
  const lateForAll = lateWitnesses > vouching && heard * 2 >= groupSize;
  const fromTraffic = failures + (lateForAll ? late : 0);
  const probe = probeFailing && fromTraffic > 0 ? threshold * PROBE_SHARE : 0;
  const ownScore = own ? Math.max(own.failureScore, own.lateScore) : 0;
  const badness = Math.max(ownScore, fromTraffic + probe);
  return { gray: badness >= threshold, badness };
}
