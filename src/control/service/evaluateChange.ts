import { diffDocuments } from "../../common/document/diffDocuments.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import { validateDocument } from "../../common/document/validateDocument.ts";
import type { AcceptedChange } from "../log/AcceptedChange.ts";
import type { ConfigState } from "../log/ConfigState.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { ChangeRequest } from "./ChangeRequest.ts";

/** Problems named in one answer, at most: a document of 40,000 routes may have as many. */
const MAX_PROBLEMS = 20;

/**
 * Decides an order against the state in force: the change that it makes, or the
 * answer to it when there is none to make. One that was accepted before is
 * acknowledged again, however long ago and whatever came since.
 */
export function evaluateChange(
  current: ConfigState,
  order: ChangeRequest,
): { propose: AcceptedChange } | { answer: ApplyOutcome } {
  const { version } = current;
  const earlier = current.versionOf(order.orderId);
  if (earlier !== undefined) {
    return { answer: { kind: "accepted", version: earlier } };
  }
  if (order.base !== version) {
    const message = `expected version ${order.base}, current is ${version}`;
    return { answer: { kind: "conflict", version, message } };
  }
  if (!Number.isSafeInteger(order.version) || order.version <= version) {
    const message = `version ${order.version} is not above the current one, ${version}`;
    return { answer: { kind: "invalid", version, message } };
  }
  const validated = validateDocument(ordered(current.document, order));
  if (!validated.ok) {
    return { answer: { kind: "invalid", version, message: describe(validated) } };
  }
  const edit = diffDocuments(current.document, validated.doc);
  return { propose: { version: order.version, orderId: order.orderId, edit } };
}

/** The whole document as the order wants it, not checked yet. */
function ordered(current: OperatorDocument, order: ChangeRequest): unknown {
  if (order.kind === "replace") {
    return order.document;
  }
  return {
    services: mergeTable(current.services, order.services.set, order.services.drop),
    routes: mergeTable(current.routes, order.routes.set, order.routes.drop),
    limits: order.limits ?? current.limits,
  };
}

function mergeTable(
  items: readonly { name: string }[],
  set: readonly unknown[],
  drop: readonly string[],
): unknown[] {
  const nameOf = (item: unknown) => (item as { name?: unknown } | null)?.name;
  const setNames = new Map(set.map((item) => [nameOf(item), item]));
  const dropped = new Set(drop);
  const kept = items
    .filter((item) => !dropped.has(item.name))
    .map((item) => {
      const replaced = setNames.get(item.name);
      setNames.delete(item.name);
      return replaced ?? item;
    });
  return [...kept, ...setNames.values()];
}

function describe(found: Extract<ReturnType<typeof validateDocument>, { ok: false }>): string {
  const problems = [
    ...found.issues.map((i) => `${i.path.join(".")}: ${i.message}`),
    ...found.across.map((v) => `${v.path.join(".")}: ${v.message}`),
  ];
  const more = problems.length - MAX_PROBLEMS;
  return problems.slice(0, MAX_PROBLEMS).join("; ") + (more > 0 ? `; and ${more} more` : "");
}
