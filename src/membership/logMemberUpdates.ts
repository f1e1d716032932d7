import type bunyan from "bunyan";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/**
 * Logs changes in what is believed of other members: that they are there, what stands beside them, that
 * they are gone. One line for all that came together: a line for each crowds out what became of requests
 * while a fleet is being restarted.
 */
export function logMemberUpdates(log: bunyan): (members: readonly ProtoTypes["Member"][]) => void {
  return (members) => {
    log.info({ members: members.map(describe) }, "member updates");
  };
}

/** `id@incarnation.revision`, then `gone`, or each target that stands beside it with its state. */
function describe({ sidecar_id: id, gone, incarnation, revision, targets }: ProtoTypes["Member"]) {
  const beside = gone ? ["gone"] : targets.map((t) => `${t.target_id} ${t.state}`);
  return [`${id}@${incarnation}.${revision}`, ...beside].join(" ");
}
