import { apiKeyDigest } from "./apiKeyDigest.ts";
import type { Route } from "./Route.ts";
import type { Service } from "./Service.ts";
import type { Workspace } from "./Workspace.ts";

/** A violation of a rule that spans several fields, and the path at which it is reported. */
export interface Violation {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

/** Fields that are required for a service with simple routes. */
const REQUIRED_WITH_ROUTES = ["requests", "timeoutMs", "retry"] as const;

/** The parts of an unvalidated document that these rules read; any other part may be missing or invalid. */
interface UnvalidatedDocument {
  readonly services?: readonly Partial<Service>[];
  readonly routes?: readonly Partial<Route>[];
  readonly workspaces?: readonly Partial<Workspace>[];
}

/**
 * Checks the rules that span several fields: simple routes are complete, routes name
 * existing services, the weights of a split have a positive sum, and no two workspaces share an API key. Accepts
 * documents that also have invalid fields, so that an operator sees all problems at once.
 */
export function checkCrossFieldRules(doc: UnvalidatedDocument): Violation[] {
  const services = toList(doc.services);
  const routes = toList(doc.routes);
  const knownServices = new Set(services.map((s) => s.name));
  return [
    ...services.flatMap((s, i) => checkSimpleRoutes(s, i)),
    ...routes.flatMap((r, i) => checkDestination(r, i, knownServices)),
    ...checkSharedKeys(toList(doc.workspaces)),
  ];
}

/**
 * The value as a list of objects. A value that is not a list, or an item that is not an object, counts as empty; the
 * schema reports it.
 */
function toList<T extends object>(value: readonly T[] | undefined): readonly Partial<T>[] {
  const items: readonly unknown[] = Array.isArray(value) ? value : [];
  return items.map((item) => (typeof item === "object" && item !== null ? (item as T) : {}));
}

function checkSimpleRoutes(service: Partial<Service>, i: number): Violation[] {
  if (service.routes === undefined) {
    return [];
  }
  return REQUIRED_WITH_ROUTES.filter((key) => service[key] === undefined).map((key) => ({
    path: ["services", i, key],
    message: "required beside routes",
  }));
}

function checkDestination(
  route: Partial<Route>,
  i: number,
  knownServices: ReadonlySet<string | undefined>,
): Violation[] {
  const pathTo = (...more: (string | number)[]) => ["routes", i, ...more];
  const { service, split } = route;
  if ((service === undefined) === (split === undefined)) {
    return [{ path: pathTo(), message: "exactly one of service and split is required" }];
  }
  if (service !== undefined) {
    return knownServices.has(service)
      ? []
      : [{ path: pathTo("service"), message: `no service ${service}` }];
  }
  const parts = toList(split);
  const unknownServices = parts.flatMap((p, n) =>
    knownServices.has(p.service)
      ? []
      : [{ path: pathTo("split", n, "service"), message: `no service ${p.service ?? "named"}` }],
  );
  const sum = parts.reduce((total, p) => total + (p.weight ?? 0), 0);
  return sum > 0
    ? unknownServices
    : [...unknownServices, { path: pathTo("split"), message: "the weights add up to 0" }];
}

/** A request's key has to identify its workspace. The violations name the workspaces, never the keys, which are secret. */
function checkSharedKeys(workspaces: readonly Partial<Workspace>[]): Violation[] {
  const owners = new Map<string, string | undefined>();
  return workspaces.flatMap(({ name, apiKeys }, i) =>
    stringsOf(apiKeys).flatMap((key, n) => {
      const digest = apiKeyDigest(key);
      if (!owners.has(digest)) {
        owners.set(digest, name);
      }
      const owner = owners.get(digest);
      return owner === name
        ? []
        : [
            {
              path: ["workspaces", i, "apiKeys", n],
              message: `also a key of workspace ${owner ?? "without a name"}`,
            },
          ];
    }),
  );
}

/** The strings in a value that may not be a list of strings; the schema reports what is invalid. */
function stringsOf(value: unknown): string[] {
  return Array.isArray(value) ? value.filter((item) => typeof item === "string") : [];
}
