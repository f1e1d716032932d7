import type { SlotRequest } from "../hop/SlotRequest.ts";

/** An ask that waits for a slot. */
export interface QueuedRequest {
  readonly request: SlotRequest;
  /** When it came, by the gate's clock, ms. */
  readonly askedAt: number;
}
