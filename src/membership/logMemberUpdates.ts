import type bunyan from "bunyan";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/**
 * Returns a listener that logs membership updates: members that joined, that are gone, or whose targets changed.
 * Updates that arrived together share one line: with a line each, the restart of a fleet would crowd the request
 * outcomes out of the log.
 */
export function logMemberUpdates(log: bunyan): (members: readonly ProtoTypes["Member"][]) => void {
  return (members) => {
    log.info({ members: members.map(describe) }, "member updates");
  };
}

/** `id@incarnation.revision`, then `gone`, or each local target of the member with its state. */
function describe({ sidecar_id: id, gone, incarnation, revision, targets }: ProtoTypes["Member"]) {
  const details = gone ? ["gone"] : targets.map((t) => `${t.target_id} ${t.state}`);
  return [`${id}@${incarnation}.${revision}`, ...details].join(" ");
}
