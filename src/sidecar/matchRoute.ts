import type { OperatorDocument } from "../common/OperatorDocument.ts";
import type { RouteMatch } from "./RouteMatch.ts";

/**
 * Finds the service whose route is the longest prefix of `path`, then the
 * request kind by method and longest path prefix. Undefined when no route
 * matches.
 */
export function matchRoute(
  doc: OperatorDocument,
  method: string,
  path: string,
): RouteMatch | undefined {
  let best: { service: OperatorDocument["services"][number]; length: number } | undefined;
  for (const service of doc.services) {
    for (const route of service.routes) {
      if (path.startsWith(route) && (!best || route.length > best.length)) {
        best = { service, length: route.length };
      }
    }
  }
  if (!best) {
    return undefined;
  }
  const kinds = best.service.requests
    .filter((k) => k.method === method && path.startsWith(k.pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  const kind = kinds[0];
  return {
    service: best.service,
    kind: kind?.kind ?? "unknown",
    idempotent: kind?.idempotent ?? false,
  };
}
