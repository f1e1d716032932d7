import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { LogEntry } from "../log/LogEntry.ts";
import type { LogSnapshot } from "../log/LogSnapshot.ts";
import type { Voter } from "../log/Voter.ts";

/** A request for a vote, or only the question whether one would be given. */
export interface VoteRequest {
  readonly kind: "vote";
  readonly to: ReplicaId;
  readonly candidate: ReplicaId;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** A sounding that changes nothing: would you vote for me? */
  readonly pre: boolean;
  /** The leader itself asked the candidate to take over, so its lease does not stand in the way. */
  readonly handover: boolean;
}

/** A leader's heartbeat, with what the follower lacks. */
export interface AppendRequest {
  readonly kind: "append";
  readonly to: ReplicaId;
  readonly term: number;
  readonly leader: Voter;
  /** Where operators reach the leader. */
  readonly leaderApi: string;
  /** Index up to which entries are committed. */
  readonly committed: number;
  /** Sent in place of all that the follower has, when its log does not join on to the leader's. */
  readonly snapshot?: LogSnapshot;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
}

/** A replica that is not in the control group, or hears no leader, makes itself known. */
export interface JoinRequest {
  readonly kind: "join";
  readonly replica: Voter;
}

/** The leader asks a follower to take over at once: it is being stopped, or its disk is failing. */
export interface HandoverRequest {
  readonly kind: "handover";
  readonly to: ReplicaId;
  readonly term: number;
}

/** What replicas ask of each other. */
export type ReplicaRequest = VoteRequest | AppendRequest | JoinRequest | HandoverRequest;

/** What they answer. */
export type ReplicaReply =
  | { readonly kind: "vote"; readonly term: number; readonly granted: boolean }
  | {
      readonly kind: "append";
      readonly term: number;
      /** The follower's log joins on. */
      readonly ok: boolean;
      /**
       * Index up to which it holds the leader's log; where it did not join on, the
       * index of its last committed entry, up to which no two logs can differ.
       */
      readonly matched: number;
    }
  /** The one asked for is not at this address any more: another disk answers there. */
  | { readonly kind: "stranger"; readonly id: ReplicaId }
  /** The leader's address, as far as known; empty when not. */
  | { readonly kind: "join"; readonly leader: string }
  | { readonly kind: "handover" };
