import type { AcceptedChange } from "./AcceptedChange.ts";
import type { ControlGroup } from "./ControlGroup.ts";

/** What an entry of the replicated log says. */
export type EntryBody =
  | { readonly kind: "change"; readonly change: AcceptedChange }
  /** The control group from here on, in force as soon as it is in the log. */
  | { readonly kind: "group"; readonly group: ControlGroup }
  /** A new leader's first entry: once it is committed, so are all before it. */
  | { readonly kind: "term-start" };

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  /** Term of the leader that made it. */
  readonly term: number;
  readonly body: EntryBody;
}
