import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** Calls to other members, by address: over the network, or in a test. They reject when there is no answer in time. */
export interface MembershipPeers {
  exchange(address: string, news: ProtoTypes["News"]): Promise<ProtoTypes["News"]>;
  /** Entries of the view of the member at `address` where it differs from one with these digests. */
  compare(address: string, digests: readonly number[]): Promise<ProtoTypes["News"]>;
  /** The whole view of the member at `address` for the caller's. */
  sync(address: string, members: ProtoTypes["Member"][]): Promise<ProtoTypes["Member"][]>;
  /** Has the member at `address` probe the one at `target`; rejects when that one does not answer it. */
  probe(address: string, target: string): Promise<void>;
  /** What the member at `address` knows of the document beyond `version`. */
  config(address: string, version: number): Promise<readonly DocumentUpdate[]>;
}
