import { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { CrashEvidence } from "./CrashEvidence.ts";

type EvidenceMessage = ProtoTypes["CrashEvidence"];

/**
 * Encodes and decodes crash evidence. Times are sent as ages, since the clocks of two VMs may differ; the time that a
 * message takes is not counted.
 */
export const evidenceCodec = {
  /** @param now current time on the monotonic clock, ms */
  encode: (evidence: CrashEvidence, now: number): EvidenceMessage => {
    const fingerprint = Buffer.from(evidence.fingerprint, "hex");
    const age_ms = Math.max(0, Math.round(now - evidence.at));
    if (evidence.kind === "clearance") {
      const cleared_by = evidence.by;
      return { fingerprint, age_ms, cleared_by, service: "", request: "", target: "", ran_ms: 0 };
    }
    const { service, request, target, at, startedAt } = evidence;
    const ran_ms = Math.max(0, Math.round(at - startedAt));
    return { fingerprint, age_ms, cleared_by: "", service, request, target, ran_ms };
  },

  /** Undefined if the message is not valid evidence. */
  decode: (message: EvidenceMessage, now: number): CrashEvidence | undefined => {
    const { service, request, target, age_ms, ran_ms, cleared_by: by } = message;
    const fingerprint = RequestFingerprint(Buffer.from(message.fingerprint).toString("hex"));
    const at = now - age_ms;
    if (fingerprint === "") {
      return undefined;
    }
    if (by === "completion" || by === "operator") {
      return { kind: "clearance", fingerprint, by, at };
    }
    return target === ""
      ? undefined
      : { kind: "crash", fingerprint, service, request, target, startedAt: at - ran_ms, at };
  },
};
