import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";

/** Whether the target has served the request. */
export function isSuccess(result: ForwardResult): boolean {
  return result.verdict.kind === "done" && result.outcome === AttemptOutcome.Ok;
}
