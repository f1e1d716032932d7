import { z } from "zod";
import { Annotations } from "./Annotations.ts";
import { Millis } from "./Millis.ts";

/** What a caller's connection may send, and how long it may take or stay idle. */
export const Limits = z.strictObject({
  /** Request line and headers together; Node's own default. */
  maxHeaderBytes: z.number().int().positive().default(16_384),
  /** The largest request body, 64 MiB unless set: full trend reports are uploaded whole. */
  maxBodyBytes: z.number().int().positive().default(67_108_864),
  /** From the first byte of a request to the end of its headers. */
  headerTimeoutMs: Millis.default(10_000),
  /** A kept connection without a request for this long is closed. */
  idleTimeoutMs: Millis.default(30_000),
  annotations: Annotations,
});

/** Limits on callers' connections, as the document holds them. */
export type Limits = z.infer<typeof Limits>;
