/** One entry of the replicated log: a whole accepted document, or a repeat of the last one by a new leader. */
export interface LogEntry {
  readonly index: number;
  /** Term of the leader that made it. */
  readonly term: number;
  /** The document's version; 0 before any. */
  readonly version: number;
  readonly document: string;
  /** The operator's request; empty in a new leader's own entry. */
  readonly requestId: string;
}
