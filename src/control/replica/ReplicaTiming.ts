/** A replica's intervals, ms. The lease must be shorter than the shortest election timeout. */
export interface ReplicaTiming {
  readonly heartbeatMs: number;
  /** A leader that has not heard from a quorum for this long serves nothing as current. */
  readonly leaseMs: number;
  readonly electionMinMs: number;
  readonly electionMaxMs: number;
  /** An apply not committed by then is answered as of unknown outcome. */
  readonly proposeMs: number;
  /** A voter silent for this long gives up its place, if another replica is ready to take it. */
  readonly replaceAfterMs: number;
  /** How often a replica outside the group asks to be let in. */
  readonly joinMs: number;
}
