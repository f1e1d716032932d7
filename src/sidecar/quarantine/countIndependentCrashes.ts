import type { Crash } from "../../membership/evidence/CrashEvidence.ts";

/**
 * Number of crashes that can't have a common cause: the largest number of runs of which each began after the one before
 * it had been lost. A rack that fails loses all runs that are in progress on it at once, whatever they do; a request that
 * crashes its targets does so again each time that it is sent. Greedy interval scheduling, earliest end first.
 */
export function countIndependentCrashes(crashes: readonly Crash[]): number {
  let count = 0;
  let lastAt = -Infinity;
  for (const { startedAt, at } of [...crashes].sort((a, b) => a.at - b.at)) {
    if (startedAt >= lastAt) {
      count += 1;
      lastAt = at;
    }
  }
  return count;
}
