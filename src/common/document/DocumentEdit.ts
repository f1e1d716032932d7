import type { Limits } from "./Limits.ts";
import type { Route } from "./Route.ts";
import type { Service } from "./Service.ts";

/** Items to set, by their names, and names of items to drop. */
interface TableEdit<T> {
  readonly set: readonly T[];
  readonly drop: readonly string[];
}

/**
 * What changes from one version of the document to the next. Changes travel and
 * are stored in this form: one moved route of 350 costs its own 200 bytes, not
 * the 60 KB of the document.
 */
export interface DocumentEdit {
  readonly services: TableEdit<Service>;
  readonly routes: TableEdit<Route>;
  readonly limits?: Limits;
}
