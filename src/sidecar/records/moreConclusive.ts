import type { RunRecord } from "./RunRecord.ts";

/** Returns the record that is closer to a final outcome: done before unknown before claimed. */
export function moreConclusive(a: RunRecord | undefined, b: RunRecord): RunRecord {
  const rank = { claimed: 0, unknown: 1, done: 2 } as const;
  return a && rank[a.state] >= rank[b.state] ? a : b;
}
