import type { DocumentEdit } from "./DocumentEdit.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/** Applies `edit` to `doc` and returns the result. Existing items keep their order; new ones are appended. */
export function editDocument(doc: OperatorDocument, edit: DocumentEdit): OperatorDocument {
  return {
    services: editTable(doc.services, edit.services.set, edit.services.drop),
    routes: editTable(doc.routes, edit.routes.set, edit.routes.drop),
    limits: edit.limits ?? doc.limits,
    ...editWorkspaces(doc, edit),
  };
}

function editWorkspaces(
  { workspaces }: OperatorDocument,
  { workspaces: edit }: DocumentEdit,
): Pick<OperatorDocument, "workspaces"> {
  if (edit === undefined) {
    return workspaces ? { workspaces } : {};
  }
  return edit ? { workspaces: editTable(workspaces ?? [], edit.set, edit.drop) } : {};
}

function editTable<T extends { name: string }>(
  items: readonly T[],
  set: readonly T[],
  drop: readonly string[],
): T[] {
  const dropped = new Set(drop);
  const table = new Map(items.filter((i) => !dropped.has(i.name)).map((i) => [i.name, i]));
  for (const item of set) {
    table.set(item.name, item);
  }
  return [...table.values()];
}
