import type { SlotRequest } from "../hop/SlotRequest.ts";

/** A slot request that waits in the admission queue, or is about to join it. */
export interface QueuedRequest {
  readonly request: SlotRequest;
  /** When it was received, by the gate's clock, ms. */
  readonly receivedAt: number;
  /** When it was received, by the virtual time of fair sharing, ms; see FairTags. */
  readonly virtualArrivalMs?: number;
}
