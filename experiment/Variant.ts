import type { Service } from "../src/common/document/Service.ts";
import type { QueuedRequest } from "../src/sidecar/gate/QueuedRequest.ts";

/** A policy that the experiment compares; parts that are left out are the product's. */
export interface Variant {
  readonly name: string;
  /** The limit that a target names is shared out among the senders instead of being enforced by its gate. */
  readonly sharesLimits?: boolean;
  /** Slot time is shared among workspaces, all of weight 1. */
  readonly sharesSlotTime?: boolean;
  /** A run that its sender gives up ends at its target, as in the product; otherwise it goes on there. */
  readonly cancelsRuns?: boolean;
  /** The services' limits on hedges; without them, only stuck runs are hedged. */
  readonly hedging?: Service["hedging"];
  /** Number of slot requests sent at once for each request; 1 by default. */
  readonly firstRequests?: number;
  /** Picks the cheapest target of all instead of the cheaper of two. */
  readonly picksCheapest?: boolean;
  readonly gate?: {
    /** Whether queued request `a` gets the next free slot before `b`. */
    readonly order: (a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number) => boolean;
  };
}
