import type * as grpc from "@grpc/grpc-js";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

type Unary<Req, Res> = (
  req: Req,
  opts: grpc.CallOptions,
  cb: (err: grpc.ServiceError | null, res?: Res) => void,
) => void;

/** A typed gRPC client of another sidecar's Peer service. */
export interface PeerClient {
  Exchange: Unary<ProtoTypes["News"], ProtoTypes["News"]>;
  Sync: Unary<ProtoTypes["Members"], ProtoTypes["Members"]>;
  Probe: Unary<{ address: string }, object>;
  Share: Unary<ProtoTypes["EvidenceBundle"], ProtoTypes["EvidenceBundle"]>;
  Config: Unary<object, ProtoTypes["ConfigVersion"]>;
  Run: Unary<ProtoTypes["RunRequest"], ProtoTypes["RunReply"]>;
  Claim: Unary<ProtoTypes["KeyedRecord"], ProtoTypes["ClaimReply"]>;
  Settle: Unary<ProtoTypes["SettleRequest"], object>;
  Adopt: Unary<ProtoTypes["KeyedRecords"], object>;
  close(): void;
}
