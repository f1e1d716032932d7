import type { Readable } from "node:stream";
import type { Verdict } from "../../common/Verdict.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { CallMeans } from "../gate/CallsPerRun.ts";

/** What is told of every try. */
interface Told {
  /** What it says of the target. */
  readonly outcome: AttemptOutcome;
  /** Calls that a run at that target makes, on average; left out where the sidecar beside it did not tell. */
  readonly calls?: CallMeans;
}

/** One try at one target: the verdict, and the whole answer when there is one. */
export type ForwardResult = Told &
  (
    | {
        readonly verdict: Extract<Verdict, { kind: "done" }>;
        readonly headers: Record<string, string | string[] | undefined>;
        /** The whole body, or a stream of a large one that fails if the target cuts it short. */
        readonly body: Buffer | Readable;
        /** For a stream: resolves when it has ended, with how. */
        readonly ended?: Promise<AttemptOutcome>;
      }
    | { readonly verdict: Exclude<Verdict, { kind: "done" }> }
  );
