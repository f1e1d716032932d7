import type { RunRecord } from "./RunRecord.ts";

/**
 * A replica's reply to a claim or a refusal of a key: granted, the record that another attempt holds for the key, or
 * refused, as an attempt that began later has been refused.
 */
export type ClaimReply =
  | { readonly kind: "granted" }
  | { readonly kind: "held"; readonly record: RunRecord }
  | { readonly kind: "refused" };
