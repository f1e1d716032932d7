import * as grpc from "@grpc/grpc-js";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { callUnary } from "../../common/rpc/callUnary.ts";
import { loadProto } from "../../common/rpc/loadProto.ts";
import { ReconnectingClient } from "../../common/rpc/ReconnectingClient.ts";
import type { ReplicaLink } from "../replica/ReplicaLink.ts";
import type { ReplicaReply, ReplicaRequest } from "../replica/ReplicaMessages.ts";
import type { ReplicaProto } from "./ReplicaProto.ts";
import { replicaCodec } from "./replicaCodec.ts";

/** Deadline of a call, ms; a sync takes a few, and sending a whole log of 2 MB takes some tens. */
const CALL_TIMEOUT_MS = 600;

type Unary<Req, Res> = (
  req: Req,
  cb: (err: grpc.ServiceError | null, res?: Res) => void,
) => grpc.ClientUnaryCall;

type ReplicaClient = grpc.Client & {
  Vote: Unary<ReplicaProto["VoteRequest"], ReplicaProto["VoteReply"]>;
  Append: Unary<ReplicaProto["AppendRequest"], ReplicaProto["AppendReply"]>;
  Join: Unary<ReplicaProto["JoinRequest"], ReplicaProto["JoinReply"]>;
  Handover: Unary<ReplicaProto["HandoverRequest"], ReplicaProto["HandoverReply"]>;
};

/** A {@link ReplicaLink} over gRPC, with one connection to each replica. */
export class GrpcReplicaLink implements ReplicaLink, IDisposable {
  readonly #clientClass = loadProto("replica").Replica;
  readonly #clients = new Map<string, ReconnectingClient<ReplicaClient>>();

  send(address: string, req: ReplicaRequest, onReply: (reply: ReplicaReply) => void): void {
    // Errors are ignored: the protocol tolerates lost messages. The sender retries on its own
    // schedule, and logs a loss of contact.
    this.#client(address)
      .call((client) => callReplica(client, req))
      .then(onReply, () => undefined);
  }

  dispose(): void {
    for (const client of this.#clients.values()) {
      client.dispose();
    }
    this.#clients.clear();
  }

  #client(address: string): ReconnectingClient<ReplicaClient> {
    let client = this.#clients.get(address);
    if (!client) {
      client = new ReconnectingClient(this.#clientClass, address);
      this.#clients.set(address, client);
    }
    return client;
  }
}

async function callReplica(client: ReplicaClient, req: ReplicaRequest): Promise<ReplicaReply> {
  switch (req.kind) {
    case "vote": {
      const vote = client.Vote.bind(client);
      return replicaCodec.decodeVoteReply(await callUnary(vote, req, CALL_TIMEOUT_MS));
    }
    case "append": {
      const append = client.Append.bind(client);
      const raw = await callUnary(append, replicaCodec.encodeAppend(req), CALL_TIMEOUT_MS);
      return replicaCodec.decodeAppendReply(raw);
    }
    case "join": {
      const { leader } = await callUnary(client.Join.bind(client), req, CALL_TIMEOUT_MS);
      return { kind: "join", leader };
    }
    case "handover":
      await callUnary(client.Handover.bind(client), req, CALL_TIMEOUT_MS);
      return { kind: "handover" };
  }
}
