import type { TargetInfo } from "../membership/TargetInfo.ts";

/** What a routing policy found for one attempt. */
export type PickResult =
  | { readonly kind: "target"; readonly target: TargetInfo }
  /** Targets are there, but none has room just now: worth a short wait. */
  | { readonly kind: "full" }
  /** No target in rotation that was not tried yet. */
  | { readonly kind: "none" };
