import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

/** Calls to other sidecars, by address: over gRPC, or in a test. They reject when there is no answer in time. */
export interface MembershipPeers {
  exchange(address: string, news: ProtoTypes["News"]): Promise<ProtoTypes["News"]>;
  sync(address: string, members: ProtoTypes["Member"][]): Promise<ProtoTypes["Member"][]>;
  /** Has the sidecar at `address` probe the one at `target`; rejects when that one does not answer it. */
  probe(address: string, target: string): Promise<void>;
  config(address: string): Promise<ProtoTypes["ConfigVersion"]>;
}
