import type { Route } from "./Route.ts";
import type { Service } from "./Service.ts";

/** A rule that the document breaks as a whole, at a path into it. */
export interface Violation {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

/** What a service with simple routes of its own must say besides. */
const BESIDE_ROUTES = ["requests", "timeoutMs", "retry"] as const;

/** The parts of a document that rules across items look at; anything else may be missing or wrong. */
interface Checkable {
  readonly services?: readonly Partial<Service>[];
  readonly routes?: readonly Partial<Route>[];
}

/**
 * The rules that no single field can check: simple routes are complete, routes
 * name services that exist, splits have a weight. Takes documents whose fields may
 * be wrong besides, so that an operator sees every problem at once.
 */
export function checkDocument(doc: Checkable): Violation[] {
  const services = listOf(doc.services);
  const routes = listOf(doc.routes);
  const known = new Set(services.map((s) => s.name));
  return [
    ...services.flatMap((s, i) => checkSimpleRoutes(s, i)),
    ...routes.flatMap((r, i) => checkDestination(r, i, known)),
  ];
}

/** The value as a list of items; what is no list or no item counts as empty, and the schema reports it. */
function listOf<T extends object>(value: readonly T[] | undefined): readonly Partial<T>[] {
  const items: readonly unknown[] = Array.isArray(value) ? value : [];
  return items.map((item) => (typeof item === "object" && item !== null ? (item as T) : {}));
}

function checkSimpleRoutes(service: Partial<Service>, i: number): Violation[] {
  if (service.routes === undefined) {
    return [];
  }
  return BESIDE_ROUTES.filter((key) => service[key] === undefined).map((key) => ({
    path: ["services", i, key],
    message: "required beside routes",
  }));
}

function checkDestination(
  route: Partial<Route>,
  i: number,
  known: ReadonlySet<string | undefined>,
): Violation[] {
  const at = (...more: (string | number)[]) => ["routes", i, ...more];
  const { service, split } = route;
  if ((service === undefined) === (split === undefined)) {
    return [{ path: at(), message: "exactly one of service and split is required" }];
  }
  if (service !== undefined) {
    return known.has(service) ? [] : [{ path: at("service"), message: `no service ${service}` }];
  }
  const parts = listOf(split);
  const strangers = parts.flatMap((p, n) =>
    known.has(p.service)
      ? []
      : [{ path: at("split", n, "service"), message: `no service ${p.service ?? "named"}` }],
  );
  const sum = parts.reduce((total, p) => total + (p.weight ?? 0), 0);
  return sum > 0
    ? strangers
    : [...strangers, { path: at("split"), message: "the weights add up to 0" }];
}
