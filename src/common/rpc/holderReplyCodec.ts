import type { HolderReply } from "./HolderReply.ts";
import type { ProtoTypes } from "./ProtoTypes.ts";

/** Converts replies of quota holders to and from the messages of `proto/burdockpass.proto`. */
export const holderReplyCodec = {
  encode: (reply: HolderReply): ProtoTypes["Credit"] => ({
    kind: reply.kind,
    retry_after: "retryAfterMs" in reply ? Math.ceil(reply.retryAfterMs) : 0,
    holder: reply.kind === "unavailable" ? reply.holder : "",
    grant: reply.kind === "granted" ? reply.grant : "",
  }),

  /** A reply of an unknown kind, from a newer member, counts as one of a sidecar without leases. */
  decode: ({ kind, retry_after, holder, grant }: ProtoTypes["Credit"]): HolderReply => {
    switch (kind) {
      case "granted":
        return { kind, grant };
      case "exhausted":
        return { kind, retryAfterMs: retry_after };
      case "unavailable":
        return { kind, retryAfterMs: retry_after, holder };
      case "credits":
        return { kind };
      default:
        return { kind: "disabled" };
    }
  },
};
