import { z } from "zod";
import { Annotations } from "./Annotations.ts";
import { Millis } from "./Millis.ts";
import { ResponseLimits } from "./ResponseLimits.ts";

/** Size and time limits on callers' connections. */
export const Limits = z.strictObject({
  /** Request line and headers together, bytes; the default is Node's own. */
  maxHeaderBytes: z.number().int().positive().default(16_384),
  /** The largest request body, bytes; 64 MiB by default, because full trend reports are uploaded in one request. */
  maxBodyBytes: z.number().int().positive().default(67_108_864),
  /** Longest time from the first byte of a request to the end of its headers. */
  headerTimeoutMs: Millis.default(10_000),
  /** A keep-alive connection is closed after this long without a request. */
  idleTimeoutMs: Millis.default(30_000),
  /** Limits on the bodies of responses; none by default. */
  responses: ResponseLimits.prefault({}),
  annotations: Annotations,
});

/** A parsed {@link Limits}, with defaults filled in. */
export type Limits = z.infer<typeof Limits>;
