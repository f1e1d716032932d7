import { z } from "zod";
import { Annotations } from "./Annotations.ts";
import { Millis } from "./Millis.ts";

/** One service's part of a weighted traffic split. */
const Part = z.strictObject({
  service: z.string().min(1),
  /** The service gets this weight divided by the sum of the weights as its share of the requests. */
  weight: z.number().min(0),
});

/**
 * One route: which requests it matches, by host and path prefix, and how they are
 * forwarded. Among the routes of a host, the longest matching prefix wins.
 */
export const Route = z.strictObject({
  name: z.string().min(1),
  /** The `Host` that it matches, without a port; if omitted, any host that no other route names. */
  host: z.string().min(1).optional(),
  prefix: z.string().startsWith("/"),
  /** If false, a request runs at most once for each of the caller's attempts, and is never sent speculatively. */
  idempotent: z.boolean(),
  /** Large request or response bodies: kept in the caller's availability zone where that has little other cost. */
  bulk: z.boolean().default(false),
  /** Longest time that a caller waits for the final response. */
  timeoutMs: Millis,
  /** Number of targets that one attempt of a caller may be sent to, including the first. */
  attempts: z.number().int().min(1),
  /** 0 is the highest priority. */
  priority: z.number().int().min(0).default(1),
  /** Latency objective: target selection and retries aim for it, and a faster response brings no benefit. */
  objectiveMs: Millis.optional(),
  /** The service that handles the requests; `split` divides them among several by weight instead. */
  service: z.string().min(1).optional(),
  split: z.array(Part).min(1).optional(),
  /** Whether requests need no API key although the document contains workspaces. */
  public: z.boolean().optional(),
  annotations: Annotations,
});

/** A parsed {@link Route}, with defaults filled in. */
export type Route = z.infer<typeof Route>;
