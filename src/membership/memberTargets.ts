import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { ServiceName } from "../common/ids/ServiceName.ts";
import { TargetId } from "../common/ids/TargetId.ts";
import { ZoneName } from "../common/ids/ZoneName.ts";
import { memberAddress } from "./memberAddress.ts";
import type { TargetInfo } from "./TargetInfo.ts";
import { TargetState } from "./TargetState.ts";

type Member = ProtoTypes["Member"];
type Target = ProtoTypes["Target"];

/** Converts targets to and from the form in members' entries. */
export const memberTargets = {
  /** The form of a target published to other members. Only those that check its health themselves need its URL. */
  publish: (target: Target): Target =>
    target.health_path === "" ? { ...target, url: "" } : target,

  /** The targets in a member's entry; none if the member is gone. */
  of: (member: Member): TargetInfo[] =>
    member.gone ? [] : member.targets.map((t) => memberTargets.toInfo(t, member)),

  toInfo: (t: Target, member: Member): TargetInfo => ({
    id: TargetId(t.target_id),
    service: ServiceName(t.service),
    url: t.url,
    slots: t.slots,
    state: toTargetState(t.state),
    zone: ZoneName(member.zone),
    hopAddress: memberAddress.expand(member.hop_address, member.peer_address),
    askAddress: member.peer_address,
    healthPath: t.health_path,
    born: t.born,
    resumed: t.resumed,
  }),
};

/** Parses a state name from the wire; an unknown one (from a newer peer) counts as cold, so that it gets no requests. */
function toTargetState(raw: string): TargetState {
  switch (raw) {
    case "ready":
      return TargetState.Ready;
    case "draining":
      return TargetState.Draining;
    default:
      return TargetState.Cold;
  }
}
