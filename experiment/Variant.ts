import type { QueuedRequest } from "../src/sidecar/gate/QueuedRequest.ts";

/** A policy that the experiment compares; parts that are left out are the product's. */
export interface Variant {
  readonly name: string;
  /** The limit that a target names is shared out among the senders instead of being enforced by its gate. */
  readonly sharesLimits?: boolean;
  /** Slot time is shared among workspaces, all of weight 1. */
  readonly sharesSlotTime?: boolean;
  readonly gate?: {
    /** Whether queued request `a` gets the next free slot before `b`. */
    readonly order: (a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number) => boolean;
  };
}
