import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

/** The control replicas, as stores of departures. */
export interface DepartureControl {
  /** Addresses at which control replicas may be. */
  readonly addresses: () => readonly string[];
  /**
   * Stores departures of this sidecar's targets at the replica at `address`, and returns all that it has; rejects if it does
   * not reply in time.
   */
  readonly ask: (
    address: string,
    departed: readonly ProtoTypes["Departure"][],
  ) => Promise<ProtoTypes["DepartureReply"]>;
}
