import { z } from "zod";
import { HostPort } from "./HostPort.ts";
import { QuotaLeases } from "./QuotaLeases.ts";
import { QuotaTolerance } from "./QuotaTolerance.ts";

/** Settings of a control replica. */
export const ControlSettings = z.strictObject({
  role: z.literal("control"),
  id: z.string().min(1),
  zone: z.string().min(1),
  /** Address for other members, sidecars and the CLI: gRPC, and UDP datagrams on the same port. */
  listen: HostPort,
  /** Address at which operators reach this replica; a replica that is not the leader names the leader's. Defaults to `listen`. */
  api: HostPort.optional(),
  /** Address of /metrics and /status. */
  admin: HostPort,
  dataDir: z.string().min(1),
  /** The initial control group, including this replica; a replacement replica contacts its members to join. */
  seeds: z.array(HostPort).default([]),
  /** Number of control VMs that may be lost at once; defaults to the number that the initial group tolerates. */
  tolerate: z.number().int().min(0).optional(),
  /**
   * True only when the whole system starts for the first time. Otherwise an empty
   * data folder means that the disk was lost, and the replica waits for its data from the others.
   */
  bootstrap: z.boolean().default(false),
  quotaTolerance: QuotaTolerance.prefault({}),
  /** Leases shares of quotas to sidecars; without it, only single credits are granted. */
  quotaLeases: QuotaLeases.optional(),
  gossipIntervalMs: z.number().int().positive().default(200),
});

/** Parsed settings of a control replica. */
export type ControlSettings = z.infer<typeof ControlSettings>;
