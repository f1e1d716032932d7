import * as grpc from "@grpc/grpc-js";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { TargetId } from "../../common/ids/TargetId.ts";
import type { ConfigFollower } from "../config/ConfigFollower.ts";
import type { EvidenceExchange } from "../detection/EvidenceExchange.ts";
import type { Membership } from "./Membership.ts";
import type { TargetTable } from "./TargetTable.ts";

/** The gRPC handlers for membership, evidence and the document in force here. */
export function peerHandlers(
  membership: Membership,
  evidence: EvidenceExchange,
  table: TargetTable,
  follower: ConfigFollower,
): grpc.UntypedServiceImplementation {
  const exchange: grpc.handleUnaryCall<ProtoTypes["News"], ProtoTypes["News"]> = (call, cb) => {
    cb(null, membership.onExchange(call.request));
  };
  const sync: grpc.handleUnaryCall<ProtoTypes["Members"], ProtoTypes["Members"]> = (call, cb) => {
    cb(null, { members: membership.onSync(call.request.members) });
  };
  const probe: grpc.handleUnaryCall<{ address: string }, object> = (call, cb) => {
    membership.onProbe(call.request.address).then(
      () => {
        cb(null, {});
      },
      (err: unknown) => {
        cb({ code: grpc.status.UNAVAILABLE, details: String(err) });
      },
    );
  };
  const share: grpc.handleUnaryCall<ProtoTypes["EvidenceBundle"], ProtoTypes["EvidenceBundle"]> = (
    call,
    cb,
  ) => {
    const serviceOf = (id: TargetId) => table.target(id)?.service;
    cb(null, evidence.onShare(call.request, serviceOf));
  };
  const config: grpc.handleUnaryCall<object, ProtoTypes["ConfigVersion"]> = (_call, cb) => {
    cb(null, follower.accepted);
  };
  return { Exchange: exchange, Sync: sync, Probe: probe, Share: share, Config: config };
}
