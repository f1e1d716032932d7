import * as grpc from "@grpc/grpc-js";
import { CHANNEL_OPTIONS } from "../../common/rpc/CHANNEL_OPTIONS.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { loadProto } from "../../common/rpc/loadProto.ts";
import type { ReplicaMessages } from "./ReplicaMessages.ts";
import type { ReplicaPeer } from "./ReplicaPeer.ts";

/** A call slower than this counts as unanswered, ms; a sync takes a few, a whole log of 2 MB some tens. */
const CALL_DEADLINE_MS = 800;

type Unary<Req, Res> = (
  req: Req,
  opts: grpc.CallOptions,
  cb: (err: grpc.ServiceError | null, res?: Res) => void,
) => void;

interface ReplicaClient {
  Vote: Unary<ReplicaMessages["VoteRequest"], ReplicaMessages["VoteReply"]>;
  Append: Unary<ReplicaMessages["AppendRequest"], ReplicaMessages["AppendReply"]>;
  close(): void;
}

/** Another control replica, over gRPC. */
export class RemoteReplicaPeer implements ReplicaPeer, IDisposable {
  readonly id: string;
  readonly #client: ReplicaClient;

  constructor(id: string, address: string) {
    this.id = id;
    const ctor = loadProto("replica").Replica as grpc.ServiceClientConstructor;
    this.#client = new ctor(
      address,
      grpc.credentials.createInsecure(),
      CHANNEL_OPTIONS,
    ) as unknown as ReplicaClient;
  }

  vote(req: ReplicaMessages["VoteRequest"]): Promise<ReplicaMessages["VoteReply"]> {
    return promised((cb) => {
      this.#client.Vote(req, deadline(), cb);
    });
  }

  append(req: ReplicaMessages["AppendRequest"]): Promise<ReplicaMessages["AppendReply"]> {
    return promised((cb) => {
      this.#client.Append(req, deadline(), cb);
    });
  }

  dispose(): void {
    this.#client.close();
  }
}

const deadline = () => ({ deadline: Date.now() + CALL_DEADLINE_MS });

function promised<T>(
  call: (cb: (err: grpc.ServiceError | null, res?: T) => void) => void,
): Promise<T> {
  return new Promise((resolve, reject) => {
    call((err, res) => {
      if (res) {
        resolve(res);
      } else {
        reject(err ?? new Error("no reply"));
      }
    });
  });
}
