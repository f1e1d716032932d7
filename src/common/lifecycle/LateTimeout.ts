/** A timeout that ended late, as the event loop was blocked. */
export interface LateTimeout {
  /** Time from when the timeout was due until the pending input was processed, ms. */
  readonly lateMs: number;
  /** The pending input included what was awaited. */
  readonly isAnswered: boolean;
}
