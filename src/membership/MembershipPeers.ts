import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** Calls to other members by address, over the network or simulated in tests. They reject when there is no reply in time. */
export interface MembershipPeers {
  /** Probes the member at `address`, with gossip in both directions. */
  exchange(address: string, gossip: ProtoTypes["News"]): Promise<ProtoTypes["News"]>;
  /** Returns the entries in which the view of the member at `address` differs from a view with these digests. */
  compare(address: string, digests: readonly number[]): Promise<ProtoTypes["News"]>;
  /** Exchanges whole views: sends `view`, and returns the view of the member at `address`. */
  sync(address: string, view: ProtoTypes["Members"]): Promise<ProtoTypes["Members"]>;
  /** Asks the member at `address` to probe the member at `target`; rejects unless both reply. */
  probe(address: string, target: string): Promise<void>;
  /** Fetches the document updates after `version` from the member at `address`. */
  config(address: string, version: number): Promise<readonly DocumentUpdate[]>;
}
