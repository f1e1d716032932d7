import type { TargetTable } from "../../membership/TargetTable.ts";

/** Sidecars in a zone that lend to each other only, at least. */
const FEW_LENDERS = 8;

/** Addresses of sidecars that are asked for leave to retry: those of the own zone, whose answers come soon; all, where it has few. */
export function chooseLenders(table: Pick<TargetTable, "liveMembers" | "selfZone">): string[] {
  const sidecars = table.liveMembers().filter((m) => !m.control);
  const near = sidecars.filter((m) => m.zone === table.selfZone);
  return (near.length >= FEW_LENDERS ? near : sidecars).map((m) => m.peer_address);
}
