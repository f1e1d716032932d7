import type { LogLine } from "../logs/LogLine.ts";
import type { AccountedRequest, RequestOutcome } from "./AccountedRequest.ts";

/** Share of a request's credit that is lost when it is answered late, from the prices of the sites served so far. */
const LATE_LOSS = 0.7;

/** Texts found within the logged refusal reasons, and the outcome that each stands for; the first match counts. */
const REFUSALS: readonly (readonly [text: string, outcome: RequestOutcome])[] = [
  ["the last one as full", "refused: no room"],
  ["the last one as suspect", "refused: suspects only"],
  ["the target did not run it", "refused: by the targets"],
  ["no accepted configuration", "refused: no document"],
  ["no target of the service", "refused: no target known"],
  ["could be reached", "refused: not reached in time"],
  ["no slot came free", "refused: not reached in time"],
  ["being stopped", "refused: stopping"],
  ["quarantined", "refused: quarantined"],
  ["the caller has left", "caller left"],
];

/** Refusal reasons that leave a request out of the account, since it earns no credit. */
const EXCLUDED_REASONS = new Set(["no route"]);

/** Log lines of one request. */
interface RequestLines {
  answeredLine: LogLine | undefined;
  readonly grants: LogLine[];
  readonly runs: LogLine[];
}

/** Determines the outcome of every request in the logs, and the credit that it lost. */
export function accountRequests(lines: readonly LogLine[]): AccountedRequest[] {
  const requestLinesByAttempt = linesByRequest(lines);
  const streaks = failureStreaks(lines);
  const times = lines.map((l) => Date.parse(l.time)).filter(Number.isFinite);
  const startMs = times.reduce((a, b) => Math.min(a, b), Infinity);
  return [...requestLinesByAttempt].flatMap(([attempt, requestLines]) => {
    const { answeredLine, grants } = requestLines;
    const line = answeredLine ?? grants[0];
    if (!line || EXCLUDED_REASONS.has(reasonOf(answeredLine))) {
      return [];
    }
    const target = textOf(grants.at(-1)?.fields.target);
    const fate = outcomeOf(requestLines, streaks.get(`${attempt}@${target}`) ?? 0);
    return {
      attempt,
      route: textOf(answeredLine?.fields.route),
      origin: line.process,
      target,
      atS: (Date.parse(line.time) - startMs) / 1000,
      fate,
      lost: lostCreditOf(fate),
    };
  });
}

function linesByRequest(lines: readonly LogLine[]): Map<string, RequestLines> {
  const requestLinesByAttempt = new Map<string, RequestLines>();
  for (const line of lines) {
    const attempt = textOf(line.fields.attempt);
    if (attempt === "") {
      continue;
    }
    const requestLines = requestLinesByAttempt.get(attempt) ?? {
      answeredLine: undefined,
      grants: [],
      runs: [],
    };
    requestLinesByAttempt.set(attempt, requestLines);
    if (line.msg === "request answered") {
      requestLines.answeredLine = line;
    } else if (line.msg === "slot granted") {
      requestLines.grants.push(line);
    } else if (line.msg === "run ended") {
      requestLines.runs.push(line);
    }
  }
  return requestLinesByAttempt;
}

/**
 * For each failed run, keyed `attempt@target`, the number of consecutive failures at that
 * target up to and including it: 1 for the first.
 */
function failureStreaks(lines: readonly LogLine[]): Map<string, number> {
  const streaks = new Map<string, number>();
  const currentStreaks = new Map<string, number>();
  for (const { msg, fields } of lines) {
    if (msg !== "run ended") {
      continue;
    }
    const target = textOf(fields.target);
    if (fields.outcome === "ok") {
      currentStreaks.set(target, 0);
    } else if (fields.outcome !== "shed" && fields.outcome !== "cancelled") {
      const streak = (currentStreaks.get(target) ?? 0) + 1;
      currentStreaks.set(target, streak);
      streaks.set(`${textOf(fields.attempt)}@${target}`, streak);
    }
  }
  return streaks;
}

function outcomeOf(requestLines: RequestLines, failureStreak: number): RequestOutcome {
  const { answeredLine, grants } = requestLines;
  const verdict = verdictOf(answeredLine);
  switch (verdict.kind) {
    case "done":
      return Number(verdict.status) >= 500
        ? failureOutcome(grants.at(-1), failureStreak)
        : responseOutcome(requestLines);
    case "not-run":
    case "in-progress":
      return refusalOutcome(textOf(verdict.reason));
    case "may-have-run":
      return textOf(verdict.reason).includes("caller has left") ? "caller left" : "in doubt";
    default:
      return "process ended";
  }
}

function responseOutcome({ answeredLine, grants, runs }: RequestLines): RequestOutcome {
  const ms = Number(answeredLine?.fields.ms);
  const objectiveMs = Number(answeredLine?.fields.objectiveMs ?? Infinity);
  if (ms <= objectiveMs) {
    return "in time";
  }
  const queuedMs = grants.reduce((sum, g) => sum + Number(g.fields.waitedMs), 0);
  if (queuedMs > ms / 2) {
    return "late: in line";
  }
  return Number(runs.at(-1)?.fields.ms) > ms / 2 ? "late: at the target" : "late: otherwise";
}

function failureOutcome(grant: LogLine | undefined, failureStreak: number): RequestOutcome {
  const load = grant?.fields.load as { suspect?: boolean } | undefined;
  if (load?.suspect) {
    return "failed: known suspect";
  }
  if (failureStreak <= 1) {
    return "failed: first";
  }
  return failureStreak === 2 ? "failed: second in a row" : "failed: later in a row";
}

function refusalOutcome(reason: string): RequestOutcome {
  return REFUSALS.find(([text]) => reason.includes(text))?.[1] ?? "refused: otherwise";
}

function lostCreditOf(outcome: RequestOutcome): number {
  if (outcome === "in time" || outcome === "caller left") {
    return 0;
  }
  return outcome.startsWith("late") ? LATE_LOSS : 1;
}

function verdictOf(answeredLine: LogLine | undefined): Readonly<Record<string, unknown>> {
  const verdict = answeredLine?.fields.verdict;
  return typeof verdict === "object" && verdict !== null
    ? (verdict as Readonly<Record<string, unknown>>)
    : {};
}

function reasonOf(answeredLine: LogLine | undefined): string {
  return textOf(verdictOf(answeredLine).reason);
}

function textOf(value: unknown): string {
  return typeof value === "string" ? value : "";
}
