import { z } from "zod";
import { Annotations } from "./Annotations.ts";
import { Millis } from "./Millis.ts";

/** One kind of request a service takes, matched by method and path prefix. */
const RequestKind = z.strictObject({
  kind: z.string().min(1),
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  pathPrefix: z.string().startsWith("/"),
  idempotent: z.boolean(),
});

/** Retry policy for one service's simple routes. */
const RetryPolicy = z.strictObject({
  /** Tries in all, the first included. */
  attempts: z.number().int().min(1).max(5),
  /** Retries may add at most this fraction of first tries (a retry budget). */
  budgetRatio: z.number().min(0).max(1),
});

/** How gray targets of one service are found and for how long they stay out. */
const Detection = z.strictObject({
  /** Evidence needed to eject, nats: lower finds gray targets sooner, higher ejects fewer healthy ones. */
  threshold: z.number().min(3).max(50).default(8),
  /** An answer is late when slower than this many times its peers' median... */
  slowFactor: z.number().min(1.5).max(20).default(3),
  /** ...and slower than the median by this much. */
  slowMinMs: Millis.default(50),
  /** The first ejection; each one soon after lasts twice as long... */
  ejectMs: Millis.default(5_000),
  /** ...up to this. */
  maxEjectMs: Millis.default(60_000),
  /** Time over which a readmitted target's share grows back. */
  rampMs: Millis.default(3_000),
});

/**
 * One service of the document. Requests reach it by the document's routes, or
 * by simple routes of its own: path prefixes on any host, with its request kinds,
 * timeout and retry policy, which are then all required.
 */
export const Service = z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  customer: z.string().min(1).optional(),
  /** Simple routes: path prefixes of callers' URLs that reach this service. */
  routes: z.array(z.string().startsWith("/")).min(1).optional(),
  requests: z.array(RequestKind).min(1).optional(),
  /** Ejection never takes healthy targets below this fraction of announced ones. */
  floor: z.number().min(0).max(1).default(0.5),
  timeoutMs: Millis.optional(),
  retry: RetryPolicy.optional(),
  detection: Detection.prefault({}),
  /**
   * A header in which targets echo the id that the sidecar sent in it. An
   * answer with another id is another request's answer; it is not passed on.
   */
  echoHeader: z
    .string()
    .regex(/^[a-z][a-z0-9-]*$/, "a lower-case header name")
    .optional(),
  /** Path of the targets' health endpoint, where they do not announce one. */
  healthPath: z.string().startsWith("/").optional(),
  /** Connections that one target accepts from all its callers together. */
  maxConnections: z.number().int().positive().optional(),
  annotations: Annotations,
});

/** A service, as the document holds it. */
export type Service = z.infer<typeof Service>;
