/** What gossip carries of the document: which version is in force here, and which ones other members report. */
export interface VersionWatch {
  /** Version in force here. */
  readonly version: number;
  /** Notes that the member at `address` has `version`. */
  noteVersion(address: string, version: number): void;
}
