/** The document versions that gossip carries: the one in force at this member, and those that other members report. */
export interface DocumentVersions {
  /** Version in force at this member; 0 before any. */
  readonly version: number;
  /** Records that the member at `address` has `version`. */
  noteVersion(address: string, version: number): void;
}
