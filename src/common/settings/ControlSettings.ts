import { z } from "zod";
import { HostPort } from "./HostPort.ts";

/** Settings of a control replica. */
export const ControlSettings = z.strictObject({
  role: z.literal("control"),
  id: z.string().min(1),
  zone: z.string().min(1),
  /** For other members, sidecars and the CLI: gRPC, and datagrams at the same port. */
  listen: HostPort,
  /** Where operators reach this replica; they are sent to the leader's. Left out, `listen`. */
  api: HostPort.optional(),
  /** /metrics and /status. */
  admin: HostPort,
  dataDir: z.string().min(1),
  /** The first control group, this replica included; a replacement asks them to be let in. */
  seeds: z.array(HostPort).default([]),
  /** VMs of control that may be lost at once; left out, as many as the first group bears. */
  tolerate: z.number().int().min(0).optional(),
  /**
   * True only when the whole system starts for the first time. Otherwise an
   * empty data folder means a lost disk, and the replica waits to be filled in.
   */
  bootstrap: z.boolean().default(false),
  gossipIntervalMs: z.number().int().positive().default(200),
});

/** A control replica's settings. */
export type ControlSettings = z.infer<typeof ControlSettings>;
