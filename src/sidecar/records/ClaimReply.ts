import type { RunRecord } from "./RunRecord.ts";

/** A replica's reply to a claim: granted, or the record that another attempt holds for the key. */
export type ClaimReply =
  { readonly kind: "granted" } | { readonly kind: "held"; readonly record: RunRecord };
