import type { LogLine } from "../logs/LogLine.ts";
import type { RequestTimeline } from "./RequestTimeline.ts";

/** Messages that tell of a change in what a process believes. */
const BELIEFS = new Set([
  "ejected",
  "readmitted",
  "target here",
  "target state",
  "target has left",
  "another target answers at this address",
  "configuration in force",
  "member updates",
  "following control",
  "no longer following control",
  "stopping",
  "sidecar started",
]);

/** Beliefs shown of each process, at most: the newest before the request. */
const BELIEFS_SHOWN = 6;

/** Tells what became of the request `attempt`, and why, from the processes' logs alone. */
export function explainRequest(attempt: string, lines: readonly LogLine[]): RequestTimeline {
  const about = lines.filter((l) => l.fields.attempt === attempt);
  const answered = about.find((l) => l.msg === "request answered");
  const origin = answered?.process ?? about.find((l) => l.msg === "slot granted")?.process;
  const steps = [
    ...about.filter((l) => l.process === origin),
    ...about.filter((l) => l.process !== origin),
  ];
  return {
    attempt,
    cause: causeOf(about, answered),
    steps,
    beliefs: beliefsBefore(steps, lines),
    missing: missingOf(about, answered),
  };
}

function causeOf(about: readonly LogLine[], answered: LogLine | undefined): string {
  if (about.length === 0) {
    return "no line of these logs names this request";
  }
  const verdict = verdictOf(answered);
  switch (verdict.kind) {
    case "done":
      return doneCause(about, verdict);
    case "not-run":
      return `not run: ${text(verdict.reason)}${refusalsIn(about)}`;
    case "may-have-run":
      return `may have run at ${text(verdict.target)}: ${text(verdict.reason)}${sightOf(about)}`;
    case "in-progress":
      return "an earlier request with the same idempotency key was still running";
    default:
      return "the logs do not hold its answer: its process ended, or its log is not among these";
  }
}

function doneCause(about: readonly LogLine[], verdict: Readonly<Record<string, unknown>>): string {
  const target = text(verdict.target);
  const status = Number(verdict.status);
  if (status < 500) {
    return `answered by ${target} with ${status}`;
  }
  const failed = about.filter((l) => l.msg === "run ended" && l.fields.outcome === "failed");
  const at = [...new Set(failed.map((l) => text(l.fields.target)))];
  const tries = at.length > 1 ? `; it failed at ${at.join(", then ")}` : "";
  return `${target} failed it with ${status}${tries}`;
}

function refusalsIn(about: readonly LogLine[]): string {
  const counts = new Map<string, number>();
  for (const { fields } of about.filter((l) => l.msg === "slot refused")) {
    const reason = text(fields.reason);
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  const parts = [...counts].map(([reason, n]) => `${n} as ${reason}`);
  return parts.length > 0 ? ` (targets refused it: ${parts.join(", ")})` : "";
}

/** What the process beside the target knows of a run whose outcome did not reach its caller. */
function sightOf(about: readonly LogLine[]): string {
  const lost = about.find((l) => l.msg === "lost contact with running attempt");
  const ended = about.filter((l) => l.msg === "run ended").at(-1);
  const lostPart = lost ? `; the origin lost sight of it: ${text(lost.fields.reason)}` : "";
  const endPart = ended
    ? `; beside the target it ended as ${text(ended.fields.outcome)} after ${text(ended.fields.ms)} ms`
    : "";
  return lostPart + endPart;
}

function beliefsBefore(steps: readonly LogLine[], lines: readonly LogLine[]): LogLine[] {
  const firstStep = new Map<string, number>();
  for (const { process, index } of steps) {
    firstStep.set(process, Math.min(index, firstStep.get(process) ?? Infinity));
  }
  return [...firstStep].flatMap(([process, first]) =>
    lines
      .filter((l) => l.process === process && l.index < first && BELIEFS.has(l.msg))
      .slice(-BELIEFS_SHOWN),
  );
}

function missingOf(about: readonly LogLine[], answered: LogLine | undefined): string[] {
  const missing: string[] = [];
  if (!answered) {
    missing.push("the answer to the caller");
  }
  const granted = about.filter((l) => l.msg === "slot granted").map((l) => text(l.fields.target));
  const ended = new Set(
    about.filter((l) => l.msg === "run ended").map((l) => text(l.fields.target)),
  );
  for (const target of granted.filter((t) => !ended.has(t))) {
    missing.push(`the end of its run at ${target}`);
  }
  return missing;
}

function verdictOf(answered: LogLine | undefined): Readonly<Record<string, unknown>> {
  const verdict = answered?.fields.verdict;
  return typeof verdict === "object" && verdict !== null
    ? (verdict as Readonly<Record<string, unknown>>)
    : {};
}

function text(value: unknown): string {
  return typeof value === "string" || typeof value === "number" ? String(value) : "?";
}
