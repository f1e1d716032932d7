/** The properties of a target that its gate uses. */
export interface GatedTarget {
  /** Number of requests that the target can run at once. */
  readonly slots: number;
  /** Whether the target accepts new requests: it is ready and not leaving. */
  readonly acceptsRequests: boolean;
}
