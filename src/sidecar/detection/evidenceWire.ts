import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import type { Evidence } from "./Evidence.ts";

/** {@link Evidence} to and from its protobuf form. */
export const evidenceWire = {
  encode(e: Evidence): ProtoTypes["Evidence"] {
    return {
      target_id: e.target,
      failure_score: e.failureScore,
      late_score: e.lateScore,
      recent_ok: e.recentOk,
      last_bad_age_ms: Math.round(e.lastBadAgeMs),
    };
  },

  decode(raw: ProtoTypes["Evidence"]): Evidence {
    return {
      target: TargetId(raw.target_id),
      failureScore: raw.failure_score,
      lateScore: raw.late_score,
      recentOk: raw.recent_ok,
      lastBadAgeMs: raw.last_bad_age_ms,
    };
  },
};
