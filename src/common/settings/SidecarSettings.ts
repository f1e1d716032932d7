import { z } from "zod";
import { HostPort } from "./HostPort.ts";
import { QuotaLeases } from "./QuotaLeases.ts";

/** A positive integer number of milliseconds. */
const Millis = z.number().int().positive();

/** Limit on the extra requests (retries and hedges) that sidecars of the whole fleet may send to one service. */
const RetryBudget = z.strictObject({
  /** Extra requests allowed, as a fraction of the service's requests in a window. */
  ratio: z.number().min(0).max(1).default(0.2),
  windowMs: Millis.default(10_000),
  /** Extra requests allowed in a window in addition to that fraction. */
  slack: z.number().min(0).default(60),
  /**
   * Fraction of the allowance that only nested calls may use, at services that receive them: the run that makes a call
   * fails with it, while a caller whose request is refused may return.
   */
  reservedForCalls: z.number().min(0).max(1).default(0),
});

/** Addresses at which others reach this sidecar, where they differ from those it listens on: behind NAT or a proxy. */
const Advertise = z.strictObject({
  peer: HostPort.optional(),
  hop: HostPort.optional(),
});

/**
 * Ages of the document, counted from when it was last known to be the current one, up to which requests are decided by
 * it. They matter only for documents with workspaces, and for requests that match no route.
 */
const DocumentAge = z.strictObject({
  /** For admitting a request by its API key, ms: a key that was taken away stops working within this time. */
  admitMs: Millis.nullable()
    .default(5000)
    .transform((ms) => ms ?? undefined),
  /** For refusing a request because its key or route does not exist, ms: one that was added works within this time. */
  refuseMs: Millis.default(2000),
});

/** Responses to refused callers. */
const Refusals = z.strictObject({
  /** Whether `Retry-After` lets a caller return within its objective when targets refused the request for no lack of room. */
  returnWithinObjective: z.boolean().default(false),
});

/** Durations of the phases of a planned stop. */
const Stop = z.strictObject({
  /** Callers are served for this long after the stop begins, so that whatever routes them here can notice it first. */
  callersMs: z.number().int().min(0).default(0),
  /** The process ends after this long, even if requests are still in flight. */
  graceMs: Millis.default(10_000),
});

/** Limit on the memory that a sidecar holds for callers, targets and other sidecars. */
const Memory = z.strictObject({
  /** Bytes of requests and responses held; near it, new requests are refused as not run. No limit if omitted. */
  maxHeldBytes: z.number().int().positive().optional(),
});

/** Settings of a sidecar: its addresses, the members through which it joins the fleet, and its policies. */
export const SidecarSettings = z.strictObject({
  role: z.literal("sidecar"),
  id: z.string().min(1),
  zone: z.string().min(1),
  /** Address for callers' HTTP requests. */
  listen: HostPort,
  /** Address for announcements from local targets, /metrics and /status. */
  admin: HostPort,
  /** Address for other members: gRPC, and UDP datagrams on the same port. */
  peer: HostPort,
  /** Address for other sidecars: requests that they forward to local targets. */
  hop: HostPort,
  advertise: Advertise.prefault({}),
  /** Address of the local target, host:port; if given, its nested calls are recognized before it announces itself. */
  targetAddress: HostPort.nullish().transform((address) => address ?? undefined),
  /** Service whose local instance sends its requests through this sidecar; may be passed on to targets. */
  callerService: z.string().default(""),
  /** Whether the `Via` header (RFC 9110, section 7.6.3) of requests to targets contains this sidecar's name. */
  via: z.boolean().default(true),
  /** Members through which it joins; it learns the rest of the fleet from them. */
  seeds: z.array(HostPort).default([]),
  /** Control replicas; further ones are learned from the other members. */
  control: z.array(HostPort).default([]),
  /** Folder for stored data; omitted on VMs without a disk. */
  dataDir: z.string().optional(),
  /** JSON-lines file for trace spans; if omitted, nothing is traced. */
  traceFile: z.string().optional(),
  /** `naive` is the baseline that `adaptive` is measured against; not for production traffic. */
  policy: z.enum(["adaptive", "naive"]).default("adaptive"),
  gossipIntervalMs: Millis.default(200),
  /** A target that has not announced itself for this long is considered gone. */
  announceTimeoutMs: Millis.default(1500),
  retryBudget: RetryBudget.prefault({}),
  documentAge: DocumentAge.prefault({}),
  /** Uses leases of quotas where control grants them; without it, each request takes a single credit from control. */
  quotaLeases: QuotaLeases.optional(),
  /**
   * The whole fleet starts for the first time. A sidecar that is started again has no share of the retry budget's slack for
   * one window, as its previous incarnation may have used it.
   */
  bootstrap: z.boolean().default(false),
  refusals: Refusals.prefault({}),
  stop: Stop.prefault({}),
  memory: Memory.prefault({}),
});

/** Parsed settings of a sidecar. */
export type SidecarSettings = z.infer<typeof SidecarSettings>;
