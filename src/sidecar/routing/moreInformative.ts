import type { ForwardResult } from "../forwarding/ForwardResult.ts";

/**
 * Returns the result that describes the request's outcome: a later not-run doesn't replace a result after which
 * the request ran or may have run. Without this rule, callers received "not run" for lookups that a gray target had
 * worked on.
 */
export function moreInformative(
  earlier: ForwardResult | undefined,
  latest: ForwardResult,
): ForwardResult {
  const hides = latest.verdict.kind === "not-run" && earlier?.verdict.kind !== "not-run";
  return earlier && hides ? earlier : latest;
}
