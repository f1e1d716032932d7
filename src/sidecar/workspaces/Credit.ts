/** A credit for the run of one request. */
export interface Credit {
  /** Returns it, as the request has not run. */
  release(): void;
}
