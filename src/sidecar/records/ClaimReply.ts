import type { RunRecord } from "./RunRecord.ts";

/** A replica's answer to a claim: granted, or the record another attempt left. */
export type ClaimReply =
  { readonly kind: "granted" } | { readonly kind: "held"; readonly record: RunRecord };
