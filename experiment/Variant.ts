import type { QueuedRequest } from "../src/sidecar/gate/QueuedRequest.ts";

/** One way of deciding that the experiment compares; what is left out is as in the product. */
export interface Variant {
  readonly name: string;
  readonly gate?: {
    /** Who has the next free slot of a target. */
    readonly order: (a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number) => boolean;
  };
}
