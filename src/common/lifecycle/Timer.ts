/** A scheduled callback. */
export interface Timer {
  /** Cancels the callback; has no effect once it has run. */
  cancel(): void;
}
