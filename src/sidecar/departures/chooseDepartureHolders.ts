import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { Membership } from "../../membership/Membership.ts";
import { chooseRecordGroup } from "../records/chooseRecordGroup.ts";
import type { DepartureHolder } from "./DepartureHolder.ts";

/**
 * Chooses the members that hold a sidecar's departures among `members`, as the holders of records are chosen. With the same
 * members, the sidecar chooses the same ones after a restart.
 */
export function chooseDepartureHolders(
  selfId: string,
  members: readonly ProtoTypes["Member"][],
  membership: Pick<Membership, "sendOwnEntry">,
): DepartureHolder[] {
  const candidates = members.map((m) => ({ ...m, id: m.sidecar_id }));
  return chooseRecordGroup(selfId, candidates).map(({ id, peer_address: address }) => ({
    id,
    send: () => membership.sendOwnEntry(address),
  }));
}
