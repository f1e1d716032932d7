import { isDeepStrictEqual } from "node:util";
import type { DocumentEdit } from "./DocumentEdit.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/** The edit that turns `from` into `to`, except for the order of items that both contain. */
export function diffDocuments(from: OperatorDocument, to: OperatorDocument): DocumentEdit {
  const edit = {
    services: diffTables(from.services, to.services),
    routes: diffTables(from.routes, to.routes),
  };
  return {
    ...edit,
    ...(isDeepStrictEqual(from.limits, to.limits) ? {} : { limits: to.limits }),
    ...diffWorkspaces(from.workspaces, to.workspaces),
  };
}

function diffWorkspaces(
  from: OperatorDocument["workspaces"],
  to: OperatorDocument["workspaces"],
): Pick<DocumentEdit, "workspaces"> {
  if (isDeepStrictEqual(from, to)) {
    return {};
  }
  return { workspaces: to ? diffTables(from ?? [], to) : null };
}

function diffTables<T extends { name: string }>(from: readonly T[], to: readonly T[]) {
  const before = new Map(from.map((i) => [i.name, i]));
  const after = new Set(to.map((i) => i.name));
  return {
    set: to.filter((i) => !isDeepStrictEqual(i, before.get(i.name))),
    drop: from.filter((i) => !after.has(i.name)).map((i) => i.name),
  };
}
