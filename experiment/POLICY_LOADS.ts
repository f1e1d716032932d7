/** What callers are to get of one load. */
export interface PolicyLoad {
  readonly scenario: string;
  /** Share of the callers served, at least. */
  readonly served: number;
  /** Credit of the worst-served kind of request, at least. */
  readonly worstKind: number;
  /** More are served than by strict priority. */
  readonly beatsPriority: boolean;
}

/** Loads on which the product's order of those in line is held against strict priority. */
export const POLICY_LOADS: readonly PolicyLoad[] = [
  { scenario: "busy", served: 0.94, worstKind: 0.9, beatsPriority: true },
  { scenario: "burst", served: 0.925, worstKind: 0.84, beatsPriority: true },
  { scenario: "gray majority", served: 0.895, worstKind: 0.83, beatsPriority: true },
  { scenario: "listings quiet", served: 0.97, worstKind: 0.95, beatsPriority: false },
  { scenario: "listings short", served: 0.94, worstKind: 0.88, beatsPriority: true },
];
