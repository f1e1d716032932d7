import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { Crash } from "../../membership/evidence/CrashEvidence.ts";
import type { Assessment } from "./Assessment.ts";
import { countIndependentCrashes } from "./countIndependentCrashes.ts";

/** Number of independent crashes from which a request is blocked. */
const CRASHES_TO_BLOCK = 3;

/** Time after its last crash for which a request that is not blocked stays under suspicion, ms. */
const SUSPICION_MS = 10 * 60_000;

/** Time for which a request is blocked after its last crash, ms; doubles with each further one, up to the maximum. */
const BLOCK_MS = 5 * 60_000;
const MAX_BLOCK_MS = 60 * 60_000;

/**
 * Decides which of the suspects are blocked. A target runs several requests when it crashes, and only one is guilty: once
 * a request has been found to crash its targets, those crashes no longer count against the others. Pure and
 * deterministic, so that all sidecars with the same evidence decide alike.
 *
 * @param now current time on the monotonic clock, ms
 */
export function assessSuspects(
  suspects: ReadonlyMap<RequestFingerprint, readonly Crash[]>,
  now: number,
): Map<RequestFingerprint, Assessment> {
  const counted = [...suspects].map(([fingerprint, crashes]) => ({
    fingerprint,
    crashes,
    count: countIndependentCrashes(crashes),
  }));
  const assessments = new Map<RequestFingerprint, Assessment>();
  /** The highest count of a blocked request that explains the end of each target. */
  const explained = new Map<string, number>();
  for (const { fingerprint, crashes, count } of counted.sort((a, b) => b.count - a.count)) {
    // Equal evidence does not show which of two requests is guilty, so neither explains the other's.
    const own = crashes.filter((c) => (explained.get(c.target) ?? 0) <= count);
    const unexplained = countIndependentCrashes(own);
    const blockedUntil = unexplained >= CRASHES_TO_BLOCK ? blockEnd(own, unexplained) : undefined;
    if (blockedUntil !== undefined) {
      own.forEach(({ target }) => {
        explained.set(target, Math.max(explained.get(target) ?? 0, count));
      });
    }
    const [first] = crashes;
    const isRecent = Math.max(...crashes.map((c) => c.at)) >= now - SUSPICION_MS;
    if (first && unexplained > 0 && (isRecent || blockedUntil !== undefined)) {
      const { service, request } = first;
      assessments.set(fingerprint, {
        fingerprint,
        service,
        request,
        crashes: unexplained,
        blockedUntil,
      });
    }
  }
  return assessments;
}

function blockEnd(crashes: readonly Crash[], count: number): number {
  const lastAt = Math.max(...crashes.map((c) => c.at));
  return lastAt + Math.min(MAX_BLOCK_MS, BLOCK_MS * 2 ** (count - CRASHES_TO_BLOCK));
}
