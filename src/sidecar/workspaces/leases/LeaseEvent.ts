import type { LeaseRefusal } from "../../../common/rpc/LeaseRefusal.ts";

/** What happens to the leases of a quota holder, as metrics count it. */
export type LeaseEvent =
  | { readonly kind: "acquired" | "renewed" | "lost" | "released" }
  | { readonly kind: "refused"; readonly reason: LeaseRefusal }
  /** A credit was granted, for this sidecar's own request or another's. */
  | { readonly kind: "credit"; readonly isOwn: boolean };
