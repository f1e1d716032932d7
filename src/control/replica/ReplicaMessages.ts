import type { LogEntry } from "./LogEntry.ts";

/** What replicas say to each other. */
export interface ReplicaMessages {
  VoteRequest: {
    term: number;
    candidate: string;
    lastIndex: number;
    lastTerm: number;
    /** A sounding that changes nothing: would you vote for me? */
    pre: boolean;
  };
  VoteReply: { term: number; granted: boolean };
  AppendRequest: {
    term: number;
    leader: string;
    committed: number;
    prevIndex: number;
    prevTerm: number;
    entries: LogEntry[];
    /** The entries are the leader's whole log, to replace the follower's. */
    whole: boolean;
    /** With a whole log: accepted request ids and their versions. */
    answers: { requestId: string; version: number }[];
  };
  AppendReply: {
    term: number;
    /** The follower holds the leader's log up to `matched`. */
    ok: boolean;
    matched: number;
    /** The follower was filled in just now or is still empty: its word does not count yet. */
    recovering: boolean;
  };
}
