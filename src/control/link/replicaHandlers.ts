import type * as grpc from "@grpc/grpc-js";
import { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { Replica } from "../replica/Replica.ts";
import type { ReplicaProto } from "./ReplicaProto.ts";
import { replicaCodec } from "./replicaCodec.ts";

type Handler<Req extends keyof ReplicaProto, Res extends keyof ReplicaProto> = grpc.handleUnaryCall<
  ReplicaProto[Req],
  ReplicaProto[Res]
>;

/** gRPC handlers for the requests of other replicas. */
export function replicaHandlers(replica: Replica): grpc.UntypedServiceImplementation {
  const vote: Handler<"VoteRequest", "VoteReply"> = (call, cb) => {
    const reply = replica.receive(replicaCodec.decodeVote(call.request));
    cb(null, replicaCodec.encodeVoteReply(reply));
  };
  const append: Handler<"AppendRequest", "AppendReply"> = (call, cb) => {
    const reply = replica.receive(replicaCodec.decodeAppend(call.request));
    cb(null, replicaCodec.encodeAppendReply(reply));
  };
  const join: Handler<"JoinRequest", "JoinReply"> = (call, cb) => {
    const { replica: learner } = call.request;
    const reply = learner && replica.receive({ kind: "join", replica: learner });
    cb(null, { leader: reply?.kind === "join" ? reply.leader : "" });
  };
  const handover: Handler<"HandoverRequest", "HandoverReply"> = (call, cb) => {
    const { to, term } = call.request;
    replica.receive({ kind: "handover", to: ReplicaId(to), term });
    cb(null, {});
  };
  return { Vote: vote, Append: append, Join: join, Handover: handover };
}
