import type { ReplicaReply, ReplicaRequest } from "./ReplicaMessages.ts";

/** The way to other replicas. */
export interface ReplicaLink {
  /** Sends `req`; `onReply` is called with the answer, at most once, or never when either is lost. */
  send(address: string, req: ReplicaRequest, onReply: (reply: ReplicaReply) => void): void;
}
