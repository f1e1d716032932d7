import type { FleetTarget } from "./LocalFleet.ts";

/** The demo fleet: three targets for each of the four services, spread over four zones. */
export const demoTargets: readonly FleetTarget[] = [
  ["oljelab-results", 5],
  ["oljelab-bookings", 5],
  ["glenbrae-availability", 4],
  ["glenbrae-bookings", 4],
].flatMap(([service, slots]) =>
  [0, 1, 2].map((i) => ({
    id: `${String(service)}-${i}`,
    service: String(service),
    zone: `zone-${"abcd"[i % 4] ?? "a"}`,
    slots: Number(slots),
  })),
);
