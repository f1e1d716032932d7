import type { FairShareRule } from "./FairShareRule.ts";

/** What part of the slot time that workspaces ask for at a gate is one workspace's, and what part it is entitled to. */
export interface ClaimShare {
  /** Its part of the expected slot time of all running and queued requests, 0 to 1. */
  readonly share: number;
  /** Its weight divided by the weights of all workspaces with running or queued requests, 0 to 1. */
  readonly fairShare: number;
  readonly weight: number;
}

/**
 * Returns the shares of workspaces.
 *
 * @param claims expected slot time of the running and queued requests of each workspace, ms
 */
export function claimShares(
  claims: ReadonlyMap<string, number>,
  rule: FairShareRule,
): Map<string, ClaimShare> {
  const weights = new Map([...claims.keys()].map((w) => [w, rule.weightOf(w)]));
  const total = sum(claims.values());
  const totalWeight = sum(weights.values());
  return new Map(
    [...weights].map(([workspace, weight]) => [
      workspace,
      {
        share: total > 0 ? (claims.get(workspace) ?? 0) / total : 0,
        fairShare: weight / totalWeight,
        weight,
      },
    ]),
  );
}

function sum(numbers: Iterable<number>): number {
  return [...numbers].reduce((total, n) => total + n, 0);
}
