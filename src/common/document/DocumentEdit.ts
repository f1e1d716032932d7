import type { Limits } from "./Limits.ts";
import type { Route } from "./Route.ts";
import type { Service } from "./Service.ts";
import type { Workspace } from "./Workspace.ts";

/** Items to add or replace, identified by name, and names of items to remove. */
interface TableEdit<T> {
  readonly set: readonly T[];
  readonly drop: readonly string[];
}

/**
 * The difference between one version of the document and the next. Changes are sent
 * and stored in this form: changing one of 350 routes takes the 200 bytes of that
 * route instead of the 60 KB of the document.
 */
export interface DocumentEdit {
  readonly services: TableEdit<Service>;
  readonly routes: TableEdit<Route>;
  readonly limits?: Limits;
  /** Absent if unchanged; null if the document no longer has workspaces. */
  readonly workspaces?: TableEdit<Workspace> | null;
}
