import { z } from "zod";

const HostPort = z.string().regex(/^[^\s:]+:\d+$/, "expected host:port");

/** Settings of a sidecar: where it listens and whom it first asks about the fleet. */
const SidecarSettings = z.strictObject({
  role: z.literal("sidecar"),
  id: z.string().min(1),
  zone: z.string().min(1),
  /** Callers' HTTP. */
  listen: HostPort,
  /** Announcements from the local target, /metrics and /status. */
  admin: HostPort,
  /** gRPC for peers. */
  peer: HostPort,
  /** Peers to gossip with first; membership grows from them. */
  seeds: z.array(HostPort).default([]),
  /** Control replicas. */
  control: z.array(HostPort).min(1),
  /** Absent on VMs without a disk. */
  dataDir: z.string().optional(),
  /** JSON-lines file for trace spans; absent to trace nothing. */
  traceFile: z.string().optional(),
  /** `naive` is the baseline that ours is measured against; never for real traffic. */
  policy: z.enum(["adaptive", "naive"]).default("adaptive"),
  gossipIntervalMs: z.number().int().positive().default(200),
});

/** Settings of a control replica. */
const ControlSettings = z.strictObject({
  role: z.literal("control"),
  id: z.string().min(1),
  zone: z.string().min(1),
  /** gRPC for sidecars and the CLI. */
  listen: HostPort,
  admin: HostPort,
  dataDir: z.string().min(1),
  /** The other replicas: with this one, three or five in all. */
  peers: z.array(z.strictObject({ id: z.string().min(1), address: HostPort })).default([]),
  /**
   * True only when the whole system starts for the first time. Otherwise an
   * empty data folder means a lost disk, and the replica waits to be filled in.
   */
  bootstrap: z.boolean().default(false),
});

/** The daemon's own YAML settings file (not the operators' document). */
export const DaemonSettings = z.discriminatedUnion("role", [SidecarSettings, ControlSettings]);

/** Parsed daemon settings. */
export type DaemonSettings = z.infer<typeof DaemonSettings>;
