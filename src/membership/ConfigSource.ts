import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";

/** The configuration document of this member, as shared with other members. */
export interface ConfigSource {
  /** Version in force at this member; 0 before any. */
  readonly version: number;
  /** The latest version that this member has received; it may not be in force yet. */
  readonly receivedVersion: number;
  /** The updates that bring a member with `version` to the version in force. */
  since(version: number): readonly DocumentUpdate[];
  /** Applies an update received from the member at `from` if it is newer. */
  offer(update: DocumentUpdate, from: string): unknown;
}
