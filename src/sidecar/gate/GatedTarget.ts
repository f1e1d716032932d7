/** The properties of a target that its gate uses. */
export interface GatedTarget {
  /** Number of requests that the target can run at once. */
  readonly slots: number;
  /** Total size of the request bodies that it can hold at once, bytes; undefined if that is not known. */
  readonly maxRequestBytes?: number;
  /** Whether the target accepts new requests: it is ready and not leaving. */
  readonly acceptsRequests: boolean;
}
