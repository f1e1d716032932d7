import type { QuotaTolerance } from "../../src/common/settings/QuotaTolerance.ts";

/** Faults of the product, put in on purpose to show that the property test finds them. */
export type QuotaFault =
  /** A voter that restarts forgets its leases and grants at once. */
  | "forgetful"
  /** A holder counts a term from the reply. */
  | "from-reply"
  /** A voter grants single credits and leases of the same workspace at once. */
  | "both-methods";

/** What a {@link QuotaModel} consists of. */
export interface QuotaModelOptions {
  readonly seed: number;
  readonly voters: number;
  readonly sidecars: number;
  /** How many of the sidecars use no leases. */
  readonly singles: number;
  readonly quota: { readonly ratePerS: number; readonly burst: number };
  readonly tolerance: QuotaTolerance;
  readonly termMs: number;
  /** Part of the messages that are lost. */
  readonly loss: number;
  /** Part of the messages that arrive late. */
  readonly lateShare: number;
  /** Mean delay of the others, ms. */
  readonly delayMs: number;
  /** How much faster or slower than the time clocks run, as a fraction. */
  readonly drift: number;
  readonly fault?: QuotaFault;
}
