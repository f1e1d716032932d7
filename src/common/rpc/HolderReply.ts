/** Reply of a sidecar to a request for a credit of a workspace's quota. */
export type HolderReply =
  /** `grant` identifies the credit at the holder, for its return. */
  | { readonly kind: "granted"; readonly grant: string }
  /** The workspace has used up its quota. */
  | { readonly kind: "exhausted"; readonly retryAfterMs: number }
  /** The sidecar holds no lease; `holder` is the address of the one that does, empty if it is not known. */
  | { readonly kind: "unavailable"; readonly retryAfterMs: number; readonly holder: string }
  /** The control voters grant single credits for this workspace. */
  | { readonly kind: "credits" }
  /** Leases are not enabled at the sidecar. */
  | { readonly kind: "disabled" };
