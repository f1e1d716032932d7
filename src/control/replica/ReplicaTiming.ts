/** A replica's intervals and timeouts, ms. The lease must be shorter than the shortest election timeout. */
export interface ReplicaTiming {
  readonly heartbeatMs: number;
  /** A leader without replies from a quorum for this long no longer serves its state as current. */
  readonly leaseMs: number;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  /** The outcome of a proposal that is not committed within this time is reported as unknown. */
  readonly commitTimeoutMs: number;
  /** A voter that has not replied for this long is replaced, if a learner has caught up. */
  readonly replaceAfterMs: number;
  /** Interval between join requests of a replica outside the group. */
  readonly joinIntervalMs: number;
}
