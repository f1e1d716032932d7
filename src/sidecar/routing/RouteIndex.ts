import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { RouteMatch } from "./RouteMatch.ts";

type Service = OperatorDocument["services"][number];

/**
 * Finds the service and request kind of a caller's request. Built once per
 * document; a lookup tries one hash per distinct route length, longest first, so
 * its cost does not grow with the number of routes (40,000 at the two-year size).
 */
export class RouteIndex {
  readonly #services = new Map<string, Service>();
  /** Distinct lengths of routes, longest first. */
  readonly #lengths: readonly number[];

  constructor(doc: OperatorDocument) {
    for (const service of doc.services) {
      for (const route of service.routes) {
        // Where two services name the same route, the first in the document has it.
        if (!this.#services.has(route)) {
          this.#services.set(route, service);
        }
      }
    }
    const lengths = new Set([...this.#services.keys()].map((route) => route.length));
    this.#lengths = [...lengths].sort((a, b) => b - a);
  }

  /**
   * The service whose route is the longest prefix of `path`, and its request
   * kind by method and longest path prefix. Undefined when no route matches.
   */
  match(method: string, path: string): RouteMatch | undefined {
    const service = this.#serviceFor(path);
    if (!service) {
      return undefined;
    }
    const kind = service.requests
      .filter((k) => k.method === method && path.startsWith(k.pathPrefix))
      .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
    return { service, kind: kind?.kind ?? "unknown", idempotent: kind?.idempotent ?? false };
  }

  #serviceFor(path: string): Service | undefined {
    for (const length of this.#lengths) {
      const service = length <= path.length && this.#services.get(path.slice(0, length));
      if (service) {
        return service;
      }
    }
    return undefined;
  }
}
