import type { ConfigSnapshot } from "./ConfigSnapshot.ts";
import type { ControlGroup } from "./ControlGroup.ts";

/** All that the log up to one committed entry has come to; the entries themselves are dropped. */
export interface LogSnapshot {
  /** Index of that entry; -1 for a replica that has never been told anything. */
  readonly index: number;
  readonly term: number;
  readonly group: ControlGroup;
  readonly config: ConfigSnapshot;
}
