import type { ReplicaMessages } from "./ReplicaMessages.ts";

/** Another replica, over gRPC or in a test. Calls reject when it cannot be reached in time. */
export interface ReplicaPeer {
  readonly id: string;
  vote(req: ReplicaMessages["VoteRequest"]): Promise<ReplicaMessages["VoteReply"]>;
  append(req: ReplicaMessages["AppendRequest"]): Promise<ReplicaMessages["AppendReply"]>;
}
