import type { ReplicaId } from "../../common/ids/ReplicaId.ts";
import type { LogEntry } from "../log/LogEntry.ts";
import type { LogSnapshot } from "../log/LogSnapshot.ts";
import type { Voter } from "../log/Voter.ts";

/** Requests a vote, or asks in a pre-vote whether one would be granted. */
export interface VoteRequest {
  readonly kind: "vote";
  readonly to: ReplicaId;
  readonly candidate: ReplicaId;
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** True for a pre-vote, which changes no state: it asks whether the vote would be granted. */
  readonly pre: boolean;
  /** True if the leader itself asked the candidate to take over, so that its lease does not prevent the vote. */
  readonly handover: boolean;
}

/** A leader's heartbeat, with the entries that the follower lacks. */
export interface AppendRequest {
  readonly kind: "append";
  readonly to: ReplicaId;
  readonly term: number;
  readonly leader: Voter;
  /** API address of the leader for operators. */
  readonly leaderApi: string;
  /** Index up to which entries are committed. */
  readonly committed: number;
  /** Replaces the follower's whole state, when the leader no longer has the entries that connect to its log. */
  readonly snapshot?: LogSnapshot;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  /** Number of the follower's last reply that the leader has received; 0 for none. */
  readonly echo: number;
  /** Time since a quorum last confirmed this leader, ms; undefined until it has committed an entry of its term. */
  readonly stateAgeMs: number | undefined;
}

/** Requests membership, from a replica that is outside the control group or hears no leader. */
export interface JoinRequest {
  readonly kind: "join";
  readonly replica: Voter;
}

/** The leader asks a follower to take over at once, because it is being stopped, removed, or its disk is failing. */
export interface HandoverRequest {
  readonly kind: "handover";
  readonly to: ReplicaId;
  readonly term: number;
}

/** A request between replicas. */
export type ReplicaRequest = VoteRequest | AppendRequest | JoinRequest | HandoverRequest;

/** The reply to a {@link ReplicaRequest}. */
export type ReplicaReply =
  | { readonly kind: "vote"; readonly term: number; readonly granted: boolean }
  | {
      readonly kind: "append";
      readonly term: number;
      /** True if the follower's log matches the leader's at `prevIndex`, and the entries are stored. */
      readonly ok: boolean;
      /**
       * Index up to which the follower holds the leader's log. If `ok` is false, the index of
       * its last committed entry, up to which all logs are equal.
       */
      readonly matched: number;
      /** Number of this reply, which the leader returns with a later append. */
      readonly number: number;
    }
  /** The addressed replica is no longer at this address: replica `id`, with another disk, replied. */
  | { readonly kind: "stranger"; readonly id: ReplicaId }
  /** The leader's address; empty while unknown. */
  | { readonly kind: "join"; readonly leader: string }
  | { readonly kind: "handover" };
