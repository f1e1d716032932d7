import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";
import { hash32 } from "../common/hash32.ts";

/** A 32-bit digest of a live entry's version; 0 for a dead or missing entry. Views are compared by the XOR of these. */
export function entryDigest(member: ProtoTypes["Member"] | undefined): number {
  if (!member || member.gone) {
    return 0;
  }
  return hash32(`${member.sidecar_id}@${member.incarnation}.${member.revision}`);
}
