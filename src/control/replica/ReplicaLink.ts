import type { ReplicaReply, ReplicaRequest } from "./ReplicaMessages.ts";

/** Transport for messages to other replicas. */
export interface ReplicaLink {
  /** Sends `req`; calls `onReply` at most once, and never if the request or its reply is lost. */
  send(address: string, req: ReplicaRequest, onReply: (reply: ReplicaReply) => void): void;
}
