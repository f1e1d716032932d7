import type { History } from "../History.ts";

/** A guarantee that was broken. */
export interface Violation {
  /** When, ms after the start of the load. */
  readonly at: number;
  readonly what: string;
}

/** What holding a history against a guarantee came to. */
export interface CheckResult {
  /** How often the guarantee was put to the test. */
  readonly count: number;
  readonly violations: readonly Violation[];
}

/** A guarantee of the product, and how a history is held against it. */
export interface Check {
  readonly guarantee: string;
  /** It has a bound in time, which a machine with more work than cores may miss without a fault of the product. */
  readonly isTimed: boolean;
  readonly run: (history: History) => CheckResult;
}
