/** The control replicas that quotas are divided among, as one of them sees it. */
export interface ShareHolders {
  /** Id of this replica. */
  readonly self: string;
  /** Ids of the voters, this one included. */
  readonly ids: readonly string[];
  /** Number of parts that quotas are divided into: at least the number of voters. */
  readonly parts: number;
  /** Time since which this replica may grant its part, ms; -Infinity if since its start. */
  readonly since: number;
  /** Time since which the parts of replicas that left the group are no longer used, ms. */
  readonly settledSince: number;
}
