import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Route } from "../../common/document/Route.ts";
import type { Service } from "../../common/document/Service.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** Default latency objective of a route, as a fraction of its timeout. */
const DEFAULT_OBJECTIVE_RATIO = 0.5;

/** Priority of simple routes: the default priority of a full route. */
const SIMPLE_ROUTE_PRIORITY = 1;

/**
 * Builds the match of a request that a route's prefix selected; undefined if the document lacks the route's service.
 */
type Matcher = (method: string, path: string, draw: Draw) => RouteMatch | undefined;

/** Returns the next sample in [0, 1) of a route, which selects an entry of its weighted split. */
type Draw = (route: string) => number;

/** The routes of one host, or those that apply to any host. */
class HostRoutes {
  readonly #matchers = new Map<string, Matcher>();
  /** Distinct prefix lengths, longest first. */
  #lengths: readonly number[] = [];

  /** Adds a route; if two routes have the same prefix, the first in the document wins. */
  add(prefix: string, matcher: Matcher): void {
    if (!this.#matchers.has(prefix)) {
      this.#matchers.set(prefix, matcher);
      if (!this.#lengths.includes(prefix.length)) {
        this.#lengths = [...this.#lengths, prefix.length].sort((a, b) => b - a);
      }
    }
  }

  /** Returns the matcher of the longest prefix of `path`. */
  longestMatch(path: string): Matcher | undefined {
    for (const length of this.#lengths) {
      const matcher = length <= path.length ? this.#matchers.get(path.slice(0, length)) : undefined;
      if (matcher) {
        return matcher;
      }
    }
    return undefined;
  }
}

/**
 * Finds the route of a caller's request. Built once per document version; a lookup
 * tries one hash per distinct prefix length, longest first, so its cost does not
 * grow with the number of routes (40,000 at the size planned for in two years).
 */
export class RouteIndex {
  readonly #byHost = new Map<string, HostRoutes>();
  readonly #anyHost = new HostRoutes();

  constructor(doc: OperatorDocument) {
    const services = new Map(doc.services.map((s) => [s.name, s]));
    for (const route of doc.routes) {
      this.#routesOf(route.host).add(route.prefix, routeMatcher(route, services));
    }
    for (const service of doc.services) {
      for (const prefix of service.routes ?? []) {
        this.#anyHost.add(prefix, simpleRouteMatcher(service));
      }
    }
  }

  /**
   * Returns the match of a request. Selects the longest matching prefix of `path` among
   * the routes of its host, or, if there is none, among the routes that apply to any host.
   *
   * @param host as in the request's `Host` header, with or without a port
   * @param draw selects an entry of a weighted split; called only for a route that has one
   */
  match(method: string, path: string, host = "", draw: Draw = () => 0): RouteMatch | undefined {
    const matcher =
      this.#byHost.get(hostName(host))?.longestMatch(path) ?? this.#anyHost.longestMatch(path);
    return matcher?.(method, path, draw);
  }

  #routesOf(host: string | undefined): HostRoutes {
    if (host === undefined) {
      return this.#anyHost;
    }
    const name = hostName(host);
    const routes = this.#byHost.get(name) ?? new HostRoutes();
    this.#byHost.set(name, routes);
    return routes;
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function routeMatcher(route: Route, services: ReadonlyMap<string, Service>): Matcher {
  const { name, idempotent, bulk, timeoutMs, attempts, priority } = route;
  const objectiveMs = route.objectiveMs ?? timeoutMs * DEFAULT_OBJECTIVE_RATIO;
  return (_method, _path, draw) => {
    const serviceName = route.split ? pickByWeight(route.split, draw(name)) : route.service;
    const service = services.get(serviceName ?? "");
    return (
      service && {
        name,
        service,
        idempotent,
        bulk,
        isPublic: route.public ?? false,
        timeoutMs,
        attempts,
        priority,
        objectiveMs,
        budgetRatio: service.retry?.budgetRatio,
      }
    );
  };
}

/** Selects the service of a weighted split that the sample `draw`, in [0, 1), falls on. */
function pickByWeight(split: readonly { service: string; weight: number }[], draw: number): string {
  const sum = split.reduce((total, entry) => total + entry.weight, 0);
  let remaining = draw * sum;
  for (const entry of split) {
    remaining -= entry.weight;
    if (remaining < 0) {
      return entry.service;
    }
  }
  return split.findLast((entry) => entry.weight > 0)?.service ?? "";
}

/**
 * Matcher of a simple route, listed in its service as a path prefix: the request's kind decides whether it is
 * idempotent.
 */
function simpleRouteMatcher(service: Service): Matcher {
  const timeoutMs = service.timeoutMs ?? 0;
  return (method, path) => {
    const kind = (service.requests ?? [])
      .filter((k) => k.method === method && path.startsWith(k.pathPrefix))
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
    return {
      name: `${service.name}/${kind?.kind ?? "unknown"}`,
      service,
      // A request of an unknown kind must not be treated as idempotent, since it could then run twice.
      idempotent: kind?.idempotent ?? false,
      bulk: false,
      isPublic: service.public ?? false,
      timeoutMs,
      attempts: service.retry?.attempts ?? 1,
      priority: SIMPLE_ROUTE_PRIORITY,
      objectiveMs: timeoutMs * DEFAULT_OBJECTIVE_RATIO,
      budgetRatio: service.retry?.budgetRatio,
    };
  };
}
