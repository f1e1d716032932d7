import type { Readable } from "node:stream";
import type { Verdict } from "../../common/Verdict.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";

/** One try at one target: the verdict, what it says of the target, and the whole answer when there is one. */
export type ForwardResult =
  | {
      readonly verdict: Extract<Verdict, { kind: "done" }>;
      readonly outcome: AttemptOutcome;
      readonly headers: Record<string, string | string[] | undefined>;
      /** The whole body, or a stream of a large one that fails if the target cuts it short. */
      readonly body: Buffer | Readable;
      /** For a stream: resolves when it has ended, with how. */
      readonly ended?: Promise<AttemptOutcome>;
    }
  | { readonly verdict: Exclude<Verdict, { kind: "done" }>; readonly outcome: AttemptOutcome };
