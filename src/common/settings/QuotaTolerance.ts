import { z } from "zod";

/** By how much the requests of a workspace may exceed its quota, over the whole fleet. */
export const QuotaTolerance = z.strictObject({
  /** Length of the windows in which requests are counted, ms. */
  windowMs: z.number().positive().default(5000),
  /** Excess as a fraction of the requests that the quota allows in a window. */
  ratio: z.number().min(0).default(0),
  /** Excess in each window in addition to that fraction, requests. */
  requests: z.number().min(0).default(0),
});

/** A parsed {@link QuotaTolerance}, with defaults filled in. */
export type QuotaTolerance = z.infer<typeof QuotaTolerance>;
