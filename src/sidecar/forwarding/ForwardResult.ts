import type { Readable } from "node:stream";
import type { Verdict } from "../../common/Verdict.ts";
import type { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { MeanNestedCalls } from "../gate/CallsPerRun.ts";

/** Fields of every result. */
interface AttemptReport {
  /** Outcome as evidence about the target's health. */
  readonly outcome: AttemptOutcome;
  /** Mean number of nested calls per run at the target, by service; undefined if its sidecar did not report them. */
  readonly calls?: MeanNestedCalls;
  /** The target's process has ended during the run. */
  readonly targetEnded?: boolean;
}

/** Result of one attempt at one target: the verdict, and the response if the verdict is `done`. */
export type ForwardResult = AttemptReport &
  (
    | {
        readonly verdict: Extract<Verdict, { kind: "done" }>;
        readonly headers: Record<string, string | string[] | undefined>;
        /** The complete body, or a stream of a large one, which fails if the target truncates it. */
        readonly body: Buffer | Readable;
        /** For a stream: resolves with the outcome when the stream has ended. */
        readonly ended?: Promise<AttemptOutcome>;
      }
    | { readonly verdict: Exclude<Verdict, { kind: "done" }> }
  );
