import type { TargetTable } from "../../membership/TargetTable.ts";

/** Minimum number of sidecars in an availability zone for borrowing within the zone only. */
const MIN_ZONE_LENDERS = 8;

/**
 * Addresses of the sidecars that may be asked for a retry token: those in this availability zone, which reply fastest,
 * or all if it has few.
 */
export function chooseLenders(table: Pick<TargetTable, "liveMembers" | "selfZone">): string[] {
  const sidecars = table.liveMembers().filter((m) => !m.control);
  const sameZone = sidecars.filter((m) => m.zone === table.selfZone);
  return (sameZone.length >= MIN_ZONE_LENDERS ? sameZone : sidecars).map((m) => m.peer_address);
}
