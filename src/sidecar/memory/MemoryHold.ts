/** Memory held for one request or response, as a {@link MemoryAccount} counts it. */
export interface MemoryHold {
  /** Counts further bytes, or with a negative number fewer. */
  add(bytes: number): void;
  /** Ends the hold; further calls have no effect. */
  release(): void;
}
