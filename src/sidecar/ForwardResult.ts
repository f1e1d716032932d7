import type { Verdict } from "../common/Verdict.ts";

/** One try at one target: the verdict, and the whole answer when there is one. */
export type ForwardResult =
  | {
      readonly verdict: Extract<Verdict, { kind: "done" }>;
      readonly headers: Record<string, string | string[] | undefined>;
      readonly body: Buffer;
    }
  | { readonly verdict: Exclude<Verdict, { kind: "done" }> };
