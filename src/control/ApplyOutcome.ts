/** Control's answer to one apply: accepted at a version, a version conflict, or an invalid document. */
export type ApplyOutcome =
  | { readonly kind: "accepted"; readonly version: number }
  | { readonly kind: "conflict"; readonly version: number; readonly message: string }
  | { readonly kind: "invalid"; readonly version: number; readonly message: string };
