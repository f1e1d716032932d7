import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { hash32 } from "./hash32.ts";

/** A digest of a live entry's version; 0 for one that is dead or missing. Views are compared by the exclusive or of these. */
export function entryDigest(member: ProtoTypes["Member"] | undefined): number {
  if (!member || member.gone) {
    return 0;
  }
  return hash32(`${member.sidecar_id}@${member.incarnation}.${member.revision}`);
}
