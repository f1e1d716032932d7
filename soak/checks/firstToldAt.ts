import type { History, TargetRecord } from "../History.ts";

/** When each sidecar returned the first response of a target to a request that the target ran from `from` on, ms. */
export function firstToldAt(
  { calls, targets }: Pick<History, "calls" | "targets">,
  target: string,
  from: number,
): Map<string, number> {
  const ran = new Set(
    targets.filter((r) => r.target === target && r.event === "ran" && r.at >= from).map(tagOf),
  );
  const told = new Map<string, number>();
  for (const { tag, via, status, endedAt } of calls) {
    if (status === 200 && ran.has(tag)) {
      told.set(via, Math.min(endedAt, told.get(via) ?? Infinity));
    }
  }
  return told;
}

const tagOf = ({ tag }: TargetRecord): string => tag;
