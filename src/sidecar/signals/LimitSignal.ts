/** What a response of a target says of its limit on the rate of requests from all sidecars together. */
export type LimitSignal =
  | { readonly kind: "none" }
  /** It takes so many requests a second, 0 or more. */
  | { readonly kind: "limit"; readonly perS: number }
  /** The header cannot be read, so it says nothing about the limit. */
  | { readonly kind: "invalid"; readonly text: string };
