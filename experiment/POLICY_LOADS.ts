/** What callers are to get of one load. */
export interface PolicyLoad {
  readonly scenario: string;
  /** Share of the callers served, at least. */
  readonly minServed: number;
  /** Credit of the worst-served kind of request, at least. */
  readonly minWorstKindCredit: number;
  /** More are served than by strict priority. */
  readonly beatsPriority: boolean;
}

/** Loads on which the product's order of those in line is held against strict priority. */
export const POLICY_LOADS: readonly PolicyLoad[] = [
  { scenario: "busy", minServed: 0.94, minWorstKindCredit: 0.9, beatsPriority: true },
  { scenario: "burst", minServed: 0.925, minWorstKindCredit: 0.84, beatsPriority: true },
  { scenario: "gray majority", minServed: 0.895, minWorstKindCredit: 0.83, beatsPriority: true },
  { scenario: "listings quiet", minServed: 0.97, minWorstKindCredit: 0.95, beatsPriority: false },
  { scenario: "listings short", minServed: 0.94, minWorstKindCredit: 0.88, beatsPriority: true },
];
