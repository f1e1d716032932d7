import { z } from "zod";
import { HostPort } from "./HostPort.ts";

/** Milliseconds, as a positive whole number. */
const Millis = z.number().int().positive();

/** How much a service may be sent beside its callers' own requests, over the whole fleet. */
const RetryBudget = z.strictObject({
  /** Extra requests, as a share of the service's requests in a window. */
  ratio: z.number().min(0).max(1).default(0.2),
  windowMs: Millis.default(10_000),
  /** Extra requests in a window besides. */
  slack: z.number().min(0).default(60),
});

/** Where others reach this sidecar, where that is not where it listens: behind an address translation, or a proxy. */
const Advertise = z.strictObject({
  peer: HostPort.optional(),
  hop: HostPort.optional(),
});

/** How a planned stop goes. */
const Stop = z.strictObject({
  /** Callers are served on for this long: whoever sends them here has to notice first. */
  callersMs: z.number().int().min(0).default(0),
  /** The process ends by then, with what is still in flight. */
  graceMs: Millis.default(10_000),
});

/** Settings of a sidecar: where it listens and whom it first asks about the fleet. */
export const SidecarSettings = z.strictObject({
  role: z.literal("sidecar"),
  id: z.string().min(1),
  zone: z.string().min(1),
  /** Callers' HTTP. */
  listen: HostPort,
  /** Announcements from the local target, /metrics and /status. */
  admin: HostPort,
  /** For other members: gRPC, and datagrams at the same port. */
  peer: HostPort,
  /** For other sidecars: requests for the target beside this one. */
  hop: HostPort,
  advertise: Advertise.prefault({}),
  /** The service beside which callers' requests begin here; targets may be told. */
  callerService: z.string().default(""),
  /** Whether targets see this sidecar's name in the `Via` header (RFC 9110, 7.6.3). */
  via: z.boolean().default(true),
  /** Members to join through; the rest of the fleet is learned from them. */
  seeds: z.array(HostPort).default([]),
  /** Control replicas; others are learned from the members. */
  control: z.array(HostPort).default([]),
  /** Absent on VMs without a disk. */
  dataDir: z.string().optional(),
  /** JSON-lines file for trace spans; absent to trace nothing. */
  traceFile: z.string().optional(),
  /** `naive` is the baseline that ours is measured against; never for real traffic. */
  policy: z.enum(["adaptive", "naive"]).default("adaptive"),
  gossipIntervalMs: Millis.default(200),
  /** A target that has not announced itself for this long is taken as gone. */
  announceTimeoutMs: Millis.default(1500),
  retryBudget: RetryBudget.prefault({}),
  stop: Stop.prefault({}),
});

/** A sidecar's settings. */
export type SidecarSettings = z.infer<typeof SidecarSettings>;
