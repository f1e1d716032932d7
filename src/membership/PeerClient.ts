import type * as grpc from "@grpc/grpc-js";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

type Unary<Req, Res> = (
  req: Req,
  cb: (err: grpc.ServiceError | null, res?: Res) => void,
) => grpc.ClientUnaryCall;

/** A typed gRPC client of another member's Peer service. */
export type PeerClient = grpc.Client & {
  Sync: Unary<ProtoTypes["Members"], ProtoTypes["Members"]>;
  Config: Unary<ProtoTypes["WatchRequest"], ProtoTypes["ConfigVersions"]>;
  Claim: Unary<ProtoTypes["ClaimRequest"], ProtoTypes["ClaimReply"]>;
  Refuse: Unary<ProtoTypes["ClaimRequest"], ProtoTypes["ClaimReply"]>;
  Settle: Unary<ProtoTypes["SettleRequest"], object>;
  Adopt: Unary<ProtoTypes["KeyedRecords"], object>;
};
