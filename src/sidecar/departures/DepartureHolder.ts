import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

/** A member that keeps copies of the departures of this sidecar's targets. */
export interface DepartureHolder {
  readonly id: string;
  /** Sends it this sidecar's own entry; rejects if it does not reply in time. */
  readonly send: () => Promise<Pick<ProtoTypes["News"], "checksum" | "running_ms">>;
}
