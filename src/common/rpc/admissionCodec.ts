import type { AdmissionReply } from "./AdmissionReply.ts";
import type { CreditOutcome } from "./CreditOutcome.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

/** Converts replies to admission requests to and from the messages of `proto/burdockpass.proto`. */
export const admissionCodec = {
  encode: ({ version, ageMs, credit }: AdmissionReply): ProtoTypes["AdmissionReply"] => ({
    version,
    age: ageMs === undefined ? 0 : Math.ceil(ageMs) + 1,
    credit: credit?.kind ?? "",
    retry_after: credit?.kind === "exhausted" ? Math.ceil(credit.retryAfterMs) : 0,
  }),

  decode: (raw: ProtoTypes["AdmissionReply"]): AdmissionReply => ({
    version: raw.version,
    ageMs: raw.age > 0 ? raw.age - 1 : undefined,
    credit: decodeCredit(raw),
  }),
};

/** A credit of an unknown kind, from a newer member, counts as unavailable. */
function decodeCredit(raw: ProtoTypes["AdmissionReply"]): CreditOutcome | undefined {
  switch (raw.credit) {
    case "":
      return undefined;
    case "granted":
      return { kind: "granted" };
    case "exhausted":
      return { kind: "exhausted", retryAfterMs: raw.retry_after };
    default:
      return { kind: "unavailable" };
  }
}
