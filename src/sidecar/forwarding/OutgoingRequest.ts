/** A caller's request as it is sent to a target. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: Buffer | undefined;
  /** Absolute deadline, ms since the epoch. */
  readonly deadline: number;
  /** Aborted when the caller has left; absent for work that must run to its end. */
  readonly cancelled?: AbortSignal;
  /** Header in which the target must echo a fresh id; see the document's `echoHeader`. */
  readonly echoHeader?: string;
  /** Read the whole answer, however large, before it counts: needed where it is stored. */
  readonly wholeAnswer?: boolean;
}
