import type { Voter } from "../log/Voter.ts";

/**
 * Types of the plain objects that MessageCodec produces for `proto/replica.proto` (camel
 * case, longs as numbers, defaults filled in). They have to be kept in step with it by hand.
 */
export interface ReplicaProto {
  Voter: { id: string; address: string; zone: string };
  VoteRequest: {
    to: string;
    candidate: string;
    term: number;
    lastIndex: number;
    lastTerm: number;
    pre: boolean;
    handover: boolean;
  };
  VoteReply: { term: number; granted: boolean; stranger: string };
  Entry: { index: number; term: number; body: string };
  AppendRequest: {
    to: string;
    term: number;
    leader: Voter | null;
    leaderApi: string;
    committed: number;
    prevIndex: number;
    prevTerm: number;
    entries: ReplicaProto["Entry"][];
    snapshot: string;
    echo: number;
    stateAge: number;
  };
  AppendReply: { term: number; ok: boolean; matched: number; stranger: string; number: number };
  JoinRequest: { replica: Voter | null };
  JoinReply: { leader: string };
  HandoverRequest: { to: string; term: number };
  HandoverReply: object;
}
