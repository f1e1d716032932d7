import { z } from "zod";

/** How busy a target is, as the sidecar beside it knows. */
export const GateLoad = z.object({
  /** Requests that it can work on at once. */
  slots: z.number().int().min(0),
  /** Slots in use or granted. */
  busy: z.number().int().min(0),
  /** Asks waiting for a slot. */
  queued: z.number().int().min(0),
  /** How long a slot is in use for one request, on average, ms. */
  serviceMs: z.number().min(0),
  /** How its answers' times compare with those of its service: 1 is usual, 2 twice as long. */
  pace: z.number().min(0),
  /** Chance that it fails what it is given now; see Judge. */
  risk: z.number().min(0).max(1),
  /** Under suspicion: not for requests that have no other try, while there is another target. */
  suspect: z.boolean(),
  /** All work had better go elsewhere. */
  ejected: z.boolean(),
  /** In how long a request that has another try left would tell whether it is well, ms; left out where that is known. */
  probeInMs: z.number().min(0).optional(),
});

/** A target's load, as the schema reads it. */
export type GateLoad = z.infer<typeof GateLoad>;
