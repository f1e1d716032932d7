import { z } from "zod";

/** Leases of the workspaces' quotas. */
export const QuotaLeases = z.strictObject({
  /**
   * Term of a lease, ms. Sidecars do not use one for longer, whatever control grants. The upper limit bounds how long a
   * quota may be refused after its holder has died.
   */
  termMs: z.number().int().min(1500).max(30_000).default(3000),
});

/** Parsed {@link QuotaLeases}, with defaults filled in. */
export type QuotaLeases = z.infer<typeof QuotaLeases>;
