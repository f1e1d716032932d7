import type { Credit } from "./Credit.ts";

/** Result of a request for a credit. */
export type CreditResult =
  | { readonly kind: "granted"; readonly credit: Credit }
  /** The workspace has used up its quota. */
  | { readonly kind: "exhausted"; readonly retryAfterMs: number }
  /** No process that grants credits could be reached. */
  | { readonly kind: "unreachable"; readonly retryAfterMs: number };
