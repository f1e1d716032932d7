/** A call that is due later. */
export interface Timer {
  /** Takes the call back; harmless once it was made. */
  cancel(): void;
}
