import { z } from "zod";
import { Annotations } from "./Annotations.ts";
import { Millis } from "./Millis.ts";

/** One part of a weighted split. */
const Part = z.strictObject({
  service: z.string().min(1),
  /** Its share of the requests is its weight over the sum of the weights. */
  weight: z.number().min(0),
});

/**
 * One route: which requests it takes, by host and path prefix, and how each of
 * them is to be served. Among the routes of a host, the longest prefix wins.
 */
export const Route = z.strictObject({
  name: z.string().min(1),
  /** The `Host` it answers for, without a port; left out, any host that no other route names. */
  host: z.string().min(1).optional(),
  prefix: z.string().startsWith("/"),
  /** False: runs at most once for each of the caller's attempts, and is never sent on a guess. */
  idempotent: z.boolean(),
  /** Large bodies or answers: kept in the caller's own availability zone where that costs little else. */
  bulk: z.boolean().default(false),
  /** The longest that a caller is kept waiting for the final answer. */
  timeoutMs: Millis,
  /** Targets to which one attempt of a caller may be sent, the first included. */
  attempts: z.number().int().min(1),
  /** 0 is the most urgent. */
  priority: z.number().int().min(0).default(1),
  /** An answer within this time is as good as any; placing and retries aim for it. */
  objectiveMs: Millis.optional(),
  /** The service that serves it; or {@link Part}s of several, by weight. */
  service: z.string().min(1).optional(),
  split: z.array(Part).min(1).optional(),
  annotations: Annotations,
});

/** A route, as the document holds it. */
export type Route = z.infer<typeof Route>;
