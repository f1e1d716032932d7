/** How long a slot request is expected to wait at a gate. */
export interface ExpectedWait {
  readonly ms: number;
  /** It waits for the limit that the target names rather than for a slot. */
  readonly isForLimit: boolean;
}
