import { stringify } from "yaml";
import { SOAK_WORKSPACES } from "./SOAK_WORKSPACES.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** The routes' timeout for a request by default, ms. */
export const DEFAULT_TIMEOUT_MS = 2500;

/** Path prefix of the route that only the document of change number `change` has. */
export const changePath = (change: number): string => `/v${change}-ledger/`;

/** Path prefix of a route that each change moves to another service. */
export const MOVED_PATH = "/moved/";

/**
 * The service that the moved route belongs to in the document of change number `change`: another than in the previous
 * one, and than in the first.
 */
export const movedService = (change: number): string =>
  change === 1 ? "desk" : (["ledger", "bookings"][change % 2] ?? "");

/** The document that change number `change` applies to a soak run's fleet. */
export function soakDocument(
  { services, timeoutMs = DEFAULT_TIMEOUT_MS }: SoakPlan,
  change: number,
): string {
  const kinds = {
    desk: [{ kind: "check", method: "GET", pathPrefix: "/desk", idempotent: true }],
    bookings: [{ kind: "booking", method: "POST", pathPrefix: "/bookings", idempotent: false }],
    ledger: [
      { kind: "lookup", method: "GET", pathPrefix: "/ledger", idempotent: true },
      { kind: "probe", method: "GET", pathPrefix: changePath(change), idempotent: true },
    ],
  } as const;
  const routes = {
    desk: ["/desk"],
    bookings: ["/bookings"],
    ledger: ["/ledger", changePath(change)],
  } as const;
  return stringify({
    limits: { responses: { maxBytes: 50_000_000, silenceMs: 1000 } },
    services: services.map(({ name }) => ({
      name,
      customer: "soak",
      routes: routes[name as keyof typeof routes],
      public: true,
      requests: kinds[name as keyof typeof kinds],
      floor: 0.5,
      timeoutMs,
      retry: { attempts: 3, budgetRatio: 0.2 },
      detection: { threshold: 6, ejectMs: 3000, maxEjectMs: 6000 },
      echoHeader: "x-burdockpass-request",
    })),
    routes: [
      {
        name: "account",
        prefix: SOAK_WORKSPACES.path,
        service: SOAK_WORKSPACES.service,
        idempotent: true,
        timeoutMs,
        attempts: 3,
      },
      {
        name: "moved",
        prefix: MOVED_PATH,
        service: movedService(change),
        public: true,
        idempotent: true,
        timeoutMs,
        attempts: 3,
      },
    ],
    workspaces: [
      { name: "rotating", apiKeys: [SOAK_WORKSPACES.rotatingKey(change)] },
      { name: "monitor", apiKeys: [SOAK_WORKSPACES.monitorKey] },
      { name: "hot", apiKeys: [SOAK_WORKSPACES.hotKey], quota: SOAK_WORKSPACES.hotQuota },
    ],
  });
}
