import { stringify } from "yaml";
import type { SoakPlan } from "./SoakPlan.ts";

/** Longest that a caller is kept waiting, ms. */
const TIMEOUT_MS = 2500;

/** Prefix of the route that only one version has. */
export const changePath = (version: number): string => `/v${version}-ledger/`;

/** The operators' document of a soak's fleet, as the `version`th of its changes has it. */
export function soakDocument({ services }: SoakPlan, version: number): string {
  const kinds = {
    desk: [{ kind: "check", method: "GET", pathPrefix: "/desk", idempotent: true }],
    bookings: [{ kind: "booking", method: "POST", pathPrefix: "/bookings", idempotent: false }],
    ledger: [
      { kind: "lookup", method: "GET", pathPrefix: "/ledger", idempotent: true },
      { kind: "probe", method: "GET", pathPrefix: changePath(version), idempotent: true },
    ],
  } as const;
  const routes = {
    desk: ["/desk"],
    bookings: ["/bookings"],
    ledger: ["/ledger", changePath(version)],
  } as const;
  return stringify({
    services: services.map(({ name }) => ({
      name,
      customer: "soak",
      routes: routes[name as keyof typeof routes],
      requests: kinds[name as keyof typeof kinds],
      floor: 0.5,
      timeoutMs: TIMEOUT_MS,
      retry: { attempts: 3, budgetRatio: 0.2 },
      detection: { threshold: 6, ejectMs: 3000, maxEjectMs: 6000 },
      echoHeader: "x-burdockpass-request",
    })),
  });
}
