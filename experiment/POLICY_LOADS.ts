/** What callers must get under one load. */
export interface PolicyLoad {
  readonly scenario: string;
  /** Minimum share of requests served. */
  readonly minServed: number;
  /** Minimum credit share of the worst-served kind of request. */
  readonly minWorstKindCredit: number;
  /** Whether the product serves more requests than strict priority does. */
  readonly beatsPriority: boolean;
}

/** Loads under which the order of the product's admission queue is compared with strict priority. */
export const POLICY_LOADS: readonly PolicyLoad[] = [
  { scenario: "busy", minServed: 0.94, minWorstKindCredit: 0.9, beatsPriority: true },
  { scenario: "burst", minServed: 0.925, minWorstKindCredit: 0.84, beatsPriority: true },
  { scenario: "gray majority", minServed: 0.895, minWorstKindCredit: 0.83, beatsPriority: true },
  { scenario: "listings quiet", minServed: 0.97, minWorstKindCredit: 0.95, beatsPriority: false },
  { scenario: "listings short", minServed: 0.94, minWorstKindCredit: 0.88, beatsPriority: true },
];
