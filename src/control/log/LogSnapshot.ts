import type { ConfigSnapshot } from "./ConfigSnapshot.ts";
import type { ControlGroup } from "./ControlGroup.ts";

/** The state after a committed log entry; it replaces that entry and all earlier ones. */
export interface LogSnapshot {
  /** Index of that entry; -1 for a replica that has never received any state. */
  readonly index: number;
  readonly term: number;
  readonly group: ControlGroup;
  readonly config: ConfigSnapshot;
}
