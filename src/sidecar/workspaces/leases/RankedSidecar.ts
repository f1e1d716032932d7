/** A sidecar in the ranking of those that may hold a workspace's quota. */
export interface RankedSidecar {
  readonly id: string;
  /** Address for requests of other members. */
  readonly address: string;
}
