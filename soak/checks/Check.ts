import type { History } from "../History.ts";

/** One violation of a guarantee. */
export interface Violation {
  /** When, ms after the start of the load. */
  readonly at: number;
  /** Description of the violation, as the report shows it. */
  readonly what: string;
}

/** Result of checking a history for violations of one guarantee. */
export interface CheckResult {
  /** Number of observations that were checked. */
  readonly count: number;
  readonly violations: readonly Violation[];
}

/** A guarantee of the product, and the function that checks a history for violations of it. */
export interface Check {
  readonly guarantee: string;
  /** The guarantee has a time bound, which an overloaded machine may miss although the product has no fault. */
  readonly isTimed: boolean;
  readonly run: (history: History) => CheckResult;
}
