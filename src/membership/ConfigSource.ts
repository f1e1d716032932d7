import type { DocumentUpdate } from "../common/document/DocumentUpdate.ts";

/** The document in force here, as gossip passes it on. */
export interface ConfigSource {
  readonly version: number;
  /** What brings a member with `version` up to date. */
  since(version: number): readonly DocumentUpdate[];
  /** Takes a newer version from a peer. */
  offer(update: DocumentUpdate): unknown;
}
