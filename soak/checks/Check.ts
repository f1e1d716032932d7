import type { History } from "../History.ts";

/** A promise that was broken. */
export interface Finding {
  /** When, ms after the start of the load. */
  readonly at: number;
  readonly what: string;
}

/** What holding a history against a promise came to. */
export interface Checked {
  /** How often the promise was put to the test. */
  readonly count: number;
  readonly findings: readonly Finding[];
}

/** A promise of the product, and how a history is held against it. */
export interface Check {
  readonly promise: string;
  /** It has a bound in time, which a machine with more work than cores may miss without a fault of the product. */
  readonly isTimed: boolean;
  readonly run: (history: History) => Checked;
}
