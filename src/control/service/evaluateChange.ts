import { diffDocuments } from "../../common/document/diffDocuments.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import { validateDocument } from "../../common/document/validateDocument.ts";
import type { AcceptedChange } from "../log/AcceptedChange.ts";
import type { ConfigState } from "../log/ConfigState.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { ChangeRequest } from "./ChangeRequest.ts";

/** Maximum number of problems listed in a reply; a document with 40,000 routes may have that many. */
const MAX_PROBLEMS = 20;

/**
 * Evaluates a change request against the current state. Returns the change to propose, or an
 * answer if there is nothing to propose. A request that was accepted before is acknowledged
 * again, regardless of later changes, while {@link ConfigState} remembers it.
 */
export function evaluateChange(
  current: ConfigState,
  req: ChangeRequest,
): { propose: AcceptedChange } | { answer: ApplyOutcome } {
  const { version } = current;
  const acceptedVersion = current.versionOf(req.orderId);
  if (acceptedVersion !== undefined) {
    return { answer: { kind: "accepted", version: acceptedVersion } };
  }
  if (req.base !== version) {
    const message = `expected version ${req.base}, current is ${version}`;
    return { answer: { kind: "conflict", version, message } };
  }
  if (!Number.isSafeInteger(req.version) || req.version <= version) {
    const message = `version ${req.version} is not above the current one, ${version}`;
    return { answer: { kind: "invalid", version, message } };
  }
  const validated = validateDocument(requestedDocument(current.document, req));
  if (!validated.ok) {
    return { answer: { kind: "invalid", version, message: describeProblems(validated) } };
  }
  const edit = diffDocuments(current.document, validated.doc);
  return { propose: { version: req.version, orderId: req.orderId, edit } };
}

/** The whole document after the requested change, not validated yet. */
function requestedDocument(current: OperatorDocument, req: ChangeRequest): unknown {
  if (req.kind === "replace") {
    return req.document;
  }
  return {
    services: mergeTable(current.services, req.services.set, req.services.drop),
    routes: mergeTable(current.routes, req.routes.set, req.routes.drop),
    limits: req.limits ?? current.limits,
    ...requestedWorkspaces(current, req),
  };
}

function requestedWorkspaces(
  { workspaces }: OperatorDocument,
  { workspaces: edit }: Extract<ChangeRequest, { kind: "edit" }>,
): { workspaces?: unknown[] } {
  if (edit) {
    return { workspaces: mergeTable(workspaces ?? [], edit.set, edit.drop) };
  }
  return workspaces ? { workspaces } : {};
}

function mergeTable(
  items: readonly { name: string }[],
  set: readonly unknown[],
  drop: readonly string[],
): unknown[] {
  const nameOf = (item: unknown) => (item as { name?: unknown } | null)?.name;
  const replacements = new Map(set.map((item) => [nameOf(item), item]));
  const dropped = new Set(drop);
  const kept = items
    .filter((item) => !dropped.has(item.name))
    .map((item) => {
      const replacement = replacements.get(item.name);
      replacements.delete(item.name);
      return replacement ?? item;
    });
  return [...kept, ...replacements.values()];
}

function describeProblems(
  failure: Extract<ReturnType<typeof validateDocument>, { ok: false }>,
): string {
  const problems = [
    ...failure.issues.map((i) => `${i.path.join(".")}: ${i.message}`),
    ...failure.violations.map((v) => `${v.path.join(".")}: ${v.message}`),
  ];
  const omitted = problems.length - MAX_PROBLEMS;
  return problems.slice(0, MAX_PROBLEMS).join("; ") + (omitted > 0 ? `; and ${omitted} more` : "");
}
