import type { PickContext } from "./RoutingPolicy.ts";

/** A request with the time and the typical duration that all targets are evaluated by in one pick. */
export interface PickSnapshot extends PickContext {
  readonly now: number;
  /** Typical time that a request of the route takes, ms. */
  readonly typicalMs: number;
}
