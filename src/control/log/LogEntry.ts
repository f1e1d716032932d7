import type { AcceptedChange } from "./AcceptedChange.ts";
import type { ControlGroup } from "./ControlGroup.ts";

/** Content of an entry of the replicated log. */
export type EntryBody =
  | { readonly kind: "change"; readonly change: AcceptedChange }
  /** The control group from this entry on; it takes effect when it is appended, before it is committed. */
  | { readonly kind: "group"; readonly group: ControlGroup }
  /** A new leader's first entry: once it is committed, so are all earlier entries. */
  | { readonly kind: "term-start" };

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  /** Term of the leader that appended it. */
  readonly term: number;
  readonly body: EntryBody;
}
