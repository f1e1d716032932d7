import type { Verdict } from "../common/Verdict.ts";
import type { AttemptOutcome } from "./AttemptOutcome.ts";

/** One try at one target: the verdict, what it says of the target, and the whole answer when there is one. */
export type ForwardResult =
  | {
      readonly verdict: Extract<Verdict, { kind: "done" }>;
      readonly outcome: AttemptOutcome;
      readonly headers: Record<string, string | string[] | undefined>;
      readonly body: Buffer;
    }
  | { readonly verdict: Exclude<Verdict, { kind: "done" }>; readonly outcome: AttemptOutcome };
