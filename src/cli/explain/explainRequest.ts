import type { LogLine } from "../logs/LogLine.ts";
import type { RequestTimeline } from "./RequestTimeline.ts";

/** Log messages that record a change in a process's view of targets, members or configuration. */
const STATE_CHANGES = new Set([
  "ejected",
  "readmitted",
  "target here",
  "target state",
  "target has left",
  "another target answers at this address",
  "target ended",
  "target wants work",
  "target limit",
  "target has said",
  "target is leaving by its response",
  "target is not leaving by its health check",
  "request suspected",
  "request quarantined",
  "suspicion lifted",
  "configuration in force",
  "configuration received, not confirmed",
  "configuration activated",
  "member updates",
  "following control",
  "no longer following control",
  "stopping",
  "sidecar started",
]);

/** Maximum number of state changes shown per process: the latest ones before the request. */
const MAX_STATE_CHANGES_SHOWN = 6;

/** Reconstructs the outcome of the request `attempt`, and its cause, from the processes' log lines alone. */
export function explainRequest(attempt: string, lines: readonly LogLine[]): RequestTimeline {
  const requestLines = lines.filter((l) => l.fields.attempt === attempt);
  const answeredLine = requestLines.find((l) => l.msg === "request answered");
  const origin =
    answeredLine?.process ?? requestLines.find((l) => l.msg === "slot granted")?.process;
  const steps = [
    ...requestLines.filter((l) => l.process === origin),
    ...requestLines.filter((l) => l.process !== origin),
  ];
  return {
    attempt,
    cause: causeOf(requestLines, answeredLine),
    steps,
    beliefs: stateChangesBefore(steps, lines),
    missing: missingOf(requestLines, answeredLine),
  };
}

function causeOf(requestLines: readonly LogLine[], answeredLine: LogLine | undefined): string {
  if (requestLines.length === 0) {
    return "no line of these logs names this request";
  }
  const verdict = verdictOf(answeredLine);
  switch (verdict.kind) {
    case "done":
      return doneCause(requestLines, verdict);
    case "not-run":
      return (
        admissionCause(requestLines) ??
        `not run: ${text(verdict.reason)}${refusalsIn(requestLines)}`
      );
    case "may-have-run":
      return `may have run${placeOf(verdict)}: ${text(verdict.reason)}${runOutcomeOf(requestLines)}`;
    case "in-progress":
      return "an earlier request with the same idempotency key was still running";
    default:
      return "the logs do not hold its answer: its process ended, or its log is not among these";
  }
}

/** Why the request was refused before it was dispatched; undefined if it was not. */
function admissionCause(requestLines: readonly LogLine[]): string | undefined {
  const line = requestLines.find((l) => l.msg === "request not admitted");
  if (!line) {
    return undefined;
  }
  const { status, reason, configVersion, documentAgeMs, retryAfterMs } = line.fields;
  const age =
    documentAgeMs === undefined
      ? "which was never confirmed to be current"
      : `known to be current ${text(documentAgeMs)} ms before`;
  const retry = Number(status) < 429 ? "" : `; to be tried again after ${text(retryAfterMs)} ms`;
  return `refused with ${text(status)}: ${text(reason)}, by document version ${text(configVersion)}, ${age}${retry}`;
}

/** The target that may have run the request; empty if it was not sent to any. */
function placeOf({ target }: Readonly<Record<string, unknown>>): string {
  return target === undefined || target === "" ? "" : ` at ${text(target)}`;
}

function doneCause(
  requestLines: readonly LogLine[],
  verdict: Readonly<Record<string, unknown>>,
): string {
  const target = text(verdict.target);
  const status = Number(verdict.status);
  if (status < 500) {
    return `answered by ${target} with ${status}`;
  }
  const failed = requestLines.filter((l) => l.msg === "run ended" && l.fields.outcome === "failed");
  const failedTargets = [...new Set(failed.map((l) => text(l.fields.target)))];
  const attemptsText =
    failedTargets.length > 1 ? `; it failed at ${failedTargets.join(", then ")}` : "";
  return `${target} failed it with ${status}${attemptsText}`;
}

function refusalsIn(requestLines: readonly LogLine[]): string {
  const counts = new Map<string, number>();
  for (const { fields } of requestLines.filter((l) => l.msg === "slot refused")) {
    const reason = text(fields.reason);
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  const parts = [...counts].map(([reason, n]) => `${n} as ${reason}`);
  return parts.length > 0 ? ` (targets refused it: ${parts.join(", ")})` : "";
}

/** Why the origin lost contact with the run, and how the run ended according to the target's sidecar. */
function runOutcomeOf(requestLines: readonly LogLine[]): string {
  const contactLostLine = requestLines.find((l) => l.msg === "lost contact with running attempt");
  const endedLine = requestLines.filter((l) => l.msg === "run ended").at(-1);
  const contactLostText = contactLostLine
    ? `; the origin lost contact with the run: ${text(contactLostLine.fields.reason)}`
    : "";
  const endedText = endedLine
    ? `; at the target the run ended as ${text(endedLine.fields.outcome)} after ${text(endedLine.fields.ms)} ms`
    : "";
  return contactLostText + endedText;
}

function stateChangesBefore(steps: readonly LogLine[], lines: readonly LogLine[]): LogLine[] {
  const firstStep = new Map<string, number>();
  for (const { process, index } of steps) {
    firstStep.set(process, Math.min(index, firstStep.get(process) ?? Infinity));
  }
  return [...firstStep].flatMap(([process, first]) =>
    lines
      .filter((l) => l.process === process && l.index < first && STATE_CHANGES.has(l.msg))
      .slice(-MAX_STATE_CHANGES_SHOWN),
  );
}

function missingOf(requestLines: readonly LogLine[], answeredLine: LogLine | undefined): string[] {
  const missing: string[] = [];
  if (!answeredLine) {
    missing.push("the answer to the caller");
  }
  const grantedTargets = requestLines
    .filter((l) => l.msg === "slot granted")
    .map((l) => text(l.fields.target));
  const endedTargets = new Set(
    requestLines.filter((l) => l.msg === "run ended").map((l) => text(l.fields.target)),
  );
  for (const target of grantedTargets.filter((t) => !endedTargets.has(t))) {
    missing.push(`the end of the run at ${target}`);
  }
  return missing;
}

function verdictOf(answeredLine: LogLine | undefined): Readonly<Record<string, unknown>> {
  const verdict = answeredLine?.fields.verdict;
  return typeof verdict === "object" && verdict !== null
    ? (verdict as Readonly<Record<string, unknown>>)
    : {};
}

function text(value: unknown): string {
  return typeof value === "string" || typeof value === "number" ? String(value) : "?";
}
