import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import { flattenHeaders } from "../ingress/flattenHeaders.ts";
import type { ForwardResult } from "./ForwardResult.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";

/** The result of a run beside a target, to and from its protobuf form. */
export const runWire = {
  encode(out: ForwardResult): ProtoTypes["RunReply"] {
    const { verdict } = out;
    return {
      verdict: verdict.kind,
      status: "status" in verdict ? (verdict.status ?? 0) : 0,
      reason: "reason" in verdict ? verdict.reason : "",
      retry_after_s: "retryAfterS" in verdict ? verdict.retryAfterS : 0,
      outcome: out.outcome,
      headers: "body" in out ? flattenHeaders(out.headers) : {},
      body: "body" in out && Buffer.isBuffer(out.body) ? out.body : Buffer.alloc(0),
    };
  },

  decode(raw: ProtoTypes["RunReply"], target: TargetInfo): ForwardResult {
    const outcome = toOutcome(raw.outcome);
    const { status, reason, retry_after_s: retryAfterS } = raw;
    switch (raw.verdict) {
      case "done": {
        const verdict = { kind: "done", target: target.id, status } as const;
        return { verdict, outcome, headers: raw.headers, body: raw.body };
      }
      case "not-run": {
        const known = status > 0 ? status : undefined;
        return { verdict: { kind: "not-run", reason, retryAfterS, status: known }, outcome };
      }
      case "in-progress":
        return { verdict: { kind: "in-progress", retryAfterS }, outcome };
      default:
        return {
          verdict: { kind: "may-have-run", target: target.id, reason, retryAfterS },
          outcome,
        };
    }
  },
};

function toOutcome(raw: string): AttemptOutcome {
  const known = Object.values(AttemptOutcome).find((o) => (o as string) === raw);
  return known ?? AttemptOutcome.Cancelled;
}
