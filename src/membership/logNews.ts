import type bunyan from "bunyan";
import type { ProtoTypes } from "../common/rpc/ProtoTypes.ts";

/** Logs each change in what is believed of another member: that it is there, what stands beside it, that it is gone. */
export function logNews(log: bunyan): (member: ProtoTypes["Member"]) => void {
  return ({ sidecar_id: member, gone, incarnation, revision, targets }) => {
    const beside = targets.map((t) => `${t.target_id} ${t.state}`);
    log.info({ member, incarnation, revision, beside }, gone ? "member gone" : "member news");
  };
}
