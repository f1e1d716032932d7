import type { Membership } from "../../membership/Membership.ts";
import type { TargetTable } from "../../membership/TargetTable.ts";
import { chooseRecordGroup } from "../records/chooseRecordGroup.ts";
import type { DepartureHolder } from "./DepartureHolder.ts";

/**
 * The members that hold this sidecar's departures: a group as for records, of the other live members. A sidecar that
 * is restarted asks the same ones, or all but one of them, while its fleet stays the same.
 */
export function chooseDepartureHolders(
  table: Pick<TargetTable, "liveMembers" | "selfId">,
  membership: Pick<Membership, "sendOwnEntry">,
): DepartureHolder[] {
  const members = table.liveMembers().map((m) => ({ ...m, id: m.sidecar_id }));
  return chooseRecordGroup(table.selfId, members).map(
    ({ id, incarnation, peer_address: address }) => ({
      id,
      incarnation,
      send: () => membership.sendOwnEntry(address),
    }),
  );
}
