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
  /** Evidence that it fails requests, nats; see Judge. */
  suspicion: z.number().min(0),
  /** Under suspicion: not for work that must not repeat, while there is another. */
  suspect: z.boolean(),
  /** All work had better go elsewhere. */
  ejected: z.boolean(),
});

/** A target's load, as the schema reads it. */
export type GateLoad = z.infer<typeof GateLoad>;
