import { z } from "zod";
import { Millis } from "./Millis.ts";

/** Limits on the bodies of targets' responses; without one, a body may last as long as its caller reads it. */
export const ResponseLimits = z.strictObject({
  /** The largest response body, bytes. A target that sends more is faulty: its response is cut short. */
  maxBytes: z.number().int().positive().optional(),
  /**
   * Longest silence of a target in the middle of a response that is being passed on, ms. The time in which the caller
   * does not read is not counted.
   */
  silenceMs: Millis.optional(),
});

/** Parsed {@link ResponseLimits}. */
export type ResponseLimits = z.infer<typeof ResponseLimits>;
