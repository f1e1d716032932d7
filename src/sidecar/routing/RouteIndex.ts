import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Route } from "../../common/document/Route.ts";
import type { Service } from "../../common/document/Service.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/** Where a route names no objective, an answer in half its timeout is taken to be as good as any. */
const OBJECTIVE_SHARE = 0.5;

/** Priority of simple routes: that of a route that says none. */
const SIMPLE_PRIORITY = 1;

/** Makes the match of one request. */
type Plan = (method: string, path: string, draw: Draw) => RouteMatch | undefined;

/** Gives the next draw, in [0, 1), between the parts of a route's split. */
type Draw = (route: string) => number;

/** The routes of one host, or of any. */
class HostRoutes {
  readonly #plans = new Map<string, Plan>();
  /** Distinct lengths of prefixes, longest first. */
  #lengths: readonly number[] = [];

  /** Where two routes name the same prefix, the first in the document has it. */
  add(prefix: string, plan: Plan): void {
    if (!this.#plans.has(prefix)) {
      this.#plans.set(prefix, plan);
      const lengths = new Set([...this.#lengths, prefix.length]);
      this.#lengths = [...lengths].sort((a, b) => b - a);
    }
  }

  longest(path: string): Plan | undefined {
    for (const length of this.#lengths) {
      const plan = length <= path.length ? this.#plans.get(path.slice(0, length)) : undefined;
      if (plan) {
        return plan;
      }
    }
    return undefined;
  }
}

/**
 * Finds how a caller's request is to be served. Built once per document; a lookup
 * tries one hash per distinct prefix length, longest first, so its cost does not
 * grow with the number of routes (40,000 at the two-year size).
 */
export class RouteIndex {
  readonly #byHost = new Map<string, HostRoutes>();
  readonly #anyHost = new HostRoutes();

  constructor(doc: OperatorDocument) {
    const services = new Map(doc.services.map((s) => [s.name, s]));
    for (const route of doc.routes) {
      this.#routesOf(route.host).add(route.prefix, routePlan(route, services));
    }
    for (const service of doc.services) {
      for (const prefix of service.routes ?? []) {
        this.#anyHost.add(prefix, simplePlan(service));
      }
    }
  }

  /**
   * How to serve a request. Among the routes of its host the one with the longest
   * prefix of `path` is taken; where none of them fits, the longest of those for any host.
   *
   * @param host as in the request's `Host`, with or without a port
   * @param draw decides between the parts of a split; called only for a route that has one
   */
  match(method: string, path: string, host = "", draw: Draw = () => 0): RouteMatch | undefined {
    const plan = this.#byHost.get(hostName(host))?.longest(path) ?? this.#anyHost.longest(path);
    return plan?.(method, path, draw);
  }

  #routesOf(host: string | undefined): HostRoutes {
    if (host === undefined) {
      return this.#anyHost;
    }
    const name = hostName(host);
    const known = this.#byHost.get(name) ?? new HostRoutes();
    this.#byHost.set(name, known);
    return known;
  }
}

function hostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

function routePlan(route: Route, services: ReadonlyMap<string, Service>): Plan {
  const { name, idempotent, bulk, timeoutMs, attempts, priority } = route;
  const objectiveMs = route.objectiveMs ?? timeoutMs * OBJECTIVE_SHARE;
  return (_method, _path, draw) => {
    const chosen = route.split ? pickPart(route.split, draw(name)) : route.service;
    const service = services.get(chosen ?? "");
    return (
      service && {
        name,
        service,
        idempotent,
        bulk,
        timeoutMs,
        attempts,
        priority,
        objectiveMs,
        budgetRatio: service.retry?.budgetRatio,
      }
    );
  };
}

function pickPart(parts: readonly { service: string; weight: number }[], draw: number): string {
  const sum = parts.reduce((total, p) => total + p.weight, 0);
  let left = draw * sum;
  for (const part of parts) {
    left -= part.weight;
    if (left < 0) {
      return part.service;
    }
  }
  return parts.findLast((p) => p.weight > 0)?.service ?? "";
}

/** A service's simple routes: the kind of a request decides whether it is idempotent. */
function simplePlan(service: Service): Plan {
  const timeoutMs = service.timeoutMs ?? 0;
  return (method, path) => {
    const kind = (service.requests ?? [])
      .filter((k) => k.method === method && path.startsWith(k.pathPrefix))
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
    return {
      name: `${service.name}/${kind?.kind ?? "unknown"}`,
      service,
      // No kind matches: never taken as idempotent, so never retried blindly.
      idempotent: kind?.idempotent ?? false,
      bulk: false,
      timeoutMs,
      attempts: service.retry?.attempts ?? 1,
      priority: SIMPLE_PRIORITY,
      objectiveMs: timeoutMs * OBJECTIVE_SHARE,
      budgetRatio: service.retry?.budgetRatio,
    };
  };
}
