import { z } from "zod";
import { Annotations } from "./Annotations.ts";
import { Millis } from "./Millis.ts";

/** One kind of request that a service accepts, matched by method and path prefix. */
const RequestKind = z.strictObject({
  kind: z.string().min(1),
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  pathPrefix: z.string().startsWith("/"),
  idempotent: z.boolean(),
});

/** Retry policy for one service's simple routes. */
const RetryPolicy = z.strictObject({
  /** Maximum number of tries, including the first. */
  attempts: z.number().int().min(1).max(5),
  /** Retry budget: the number of retries is at most this fraction of the number of first tries. */
  budgetRatio: z.number().min(0).max(1),
});

/** How gray (partially failing) targets of one service are detected, and how long they stay ejected. */
const Detection = z.strictObject({
  /** Evidence needed to eject a target, nats: lower detects gray targets sooner, higher ejects fewer healthy ones. */
  threshold: z.number().min(3).max(50).default(8),
  /** A response is late when its latency exceeds this many times the median over the service's targets... */
  slowFactor: z.number().min(1.5).max(20).default(3),
  /** ...and exceeds that median by at least this much. */
  slowMinMs: Millis.default(50),
  /** Duration of the first ejection; each one that soon follows lasts twice as long... */
  ejectMs: Millis.default(5_000),
  /** ...up to this maximum. */
  maxEjectMs: Millis.default(60_000),
  /** Time over which the traffic share of a readmitted target ramps up again. */
  rampMs: Millis.default(3_000),
});

/** Limits on the second requests that are sent while the first run of an idempotent request takes unusually long. */
const Hedging = z.strictObject({
  /** The delay before a hedge, as a quantile of the response times of the request's route. */
  quantile: z.number().min(0.5).max(0.999).default(0.95),
  /** Target time that hedges may add, as a share of the target time of the service's other runs; 0 is off. */
  maxWorkShare: z.number().min(0).max(0.5).default(0),
});

/**
 * One service of the document. Requests reach it through the document's routes, or
 * through its simple routes: path prefixes on any host. Simple routes also need the
 * service's request kinds, timeout and retry policy.
 */
export const Service = z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  customer: z.string().min(1).optional(),
  /** Simple routes: path prefixes of callers' URLs that are forwarded to this service. */
  routes: z.array(z.string().startsWith("/")).min(1).optional(),
  requests: z.array(RequestKind).min(1).optional(),
  /** Whether requests of the simple routes need no API key although the document contains workspaces. */
  public: z.boolean().optional(),
  /** Ejection never reduces the healthy targets below this fraction of the announced ones. */
  floor: z.number().min(0).max(1).default(0.5),
  timeoutMs: Millis.optional(),
  retry: RetryPolicy.optional(),
  detection: Detection.prefault({}),
  /** Hedged requests; without it, only runs that are stuck are hedged, see StuckRunHedge. */
  hedging: Hedging.optional(),
  /**
   * A header in which targets echo the id that the sidecar sent in it. A response
   * with a different id belongs to another request and is not forwarded.
   */
  echoHeader: z
    .string()
    .regex(/^[a-z][a-z0-9-]*$/, "a lower-case header name")
    .optional(),
  /** Path of the targets' health endpoint, used when a target does not announce one. */
  healthPath: z.string().startsWith("/").optional(),
  /** Maximum number of connections that one target accepts from all callers together. */
  maxConnections: z.number().int().positive().optional(),
  /** Whether the slot time of each target is shared among workspaces by their weights. */
  fairShares: z.boolean().optional(),
  /** Total size of the request bodies that one target can hold at once, bytes; unlimited if omitted. */
  maxRequestBytes: z.number().int().positive().optional(),
  annotations: Annotations,
});

/** A parsed {@link Service}, with defaults filled in. */
export type Service = z.infer<typeof Service>;
