import type { LogLine } from "../logs/LogLine.ts";
import type { AccountedRequest, RequestOutcome } from "./AccountedRequest.ts";

/** Part of a request's credit that is lost when it is answered late; by the prices of the sites served so far. */
const LATE_LOSS = 0.7;

/** Reasons of refusals, by what they begin with or hold, as the processes write them. */
const REFUSALS: readonly (readonly [part: string, fate: RequestOutcome])[] = [
  ["the last one as full", "refused: no room"],
  ["the last one as suspect", "refused: suspects only"],
  ["the target did not run it", "refused: by the targets"],
  ["no accepted configuration", "refused: no document"],
  ["no target of the service", "refused: no target known"],
  ["could be reached", "refused: not reached in time"],
  ["no slot came free", "refused: not reached in time"],
  ["being stopped", "refused: stopping"],
  ["the caller has left", "caller left"],
];

/** Reasons that are no loss: nothing was owed. */
const NOT_OWED = new Set(["no route"]);

/** The lines that tell of one request. */
interface Trail {
  answered: LogLine | undefined;
  readonly grants: LogLine[];
  readonly runs: LogLine[];
}

/** Tells of every request in the logs what became of it, and where its credit was lost. */
export function accountRequests(lines: readonly LogLine[]): AccountedRequest[] {
  const trails = trailsOf(lines);
  const rows = rowsOfFailures(lines);
  const startMs = Math.min(...lines.map((l) => Date.parse(l.time)).filter(Number.isFinite));
  return [...trails].flatMap(([attempt, trail]) => {
    const { answered, grants } = trail;
    const line = answered ?? grants[0];
    if (!line || NOT_OWED.has(reasonOf(answered))) {
      return [];
    }
    const target = textOf(grants.at(-1)?.fields.target);
    const fate = fateOf(trail, rows.get(`${attempt}@${target}`) ?? 0);
    return {
      attempt,
      route: textOf(answered?.fields.route),
      origin: line.process,
      target,
      atS: (Date.parse(line.time) - startMs) / 1000,
      fate,
      lost: lossOf(fate),
    };
  });
}

function trailsOf(lines: readonly LogLine[]): Map<string, Trail> {
  const trails = new Map<string, Trail>();
  for (const line of lines) {
    const attempt = textOf(line.fields.attempt);
    if (attempt === "") {
      continue;
    }
    const trail = trails.get(attempt) ?? { answered: undefined, grants: [], runs: [] };
    trails.set(attempt, trail);
    if (line.msg === "request answered") {
      trail.answered = line;
    } else if (line.msg === "slot granted") {
      trail.grants.push(line);
    } else if (line.msg === "run ended") {
      trail.runs.push(line);
    }
  }
  return trails;
}

/** Of each failed run, by attempt and target, its place in a row of failures there: 1 for the first. */
function rowsOfFailures(lines: readonly LogLine[]): Map<string, number> {
  const places = new Map<string, number>();
  const rows = new Map<string, number>();
  for (const { msg, fields } of lines) {
    if (msg !== "run ended") {
      continue;
    }
    const target = textOf(fields.target);
    if (fields.outcome === "ok") {
      rows.set(target, 0);
    } else if (fields.outcome !== "shed" && fields.outcome !== "cancelled") {
      const place = (rows.get(target) ?? 0) + 1;
      rows.set(target, place);
      places.set(`${textOf(fields.attempt)}@${target}`, place);
    }
  }
  return places;
}

function fateOf(trail: Trail, placeInRow: number): RequestOutcome {
  const { answered, grants } = trail;
  const verdict = verdictOf(answered);
  switch (verdict.kind) {
    case "done":
      return Number(verdict.status) >= 500
        ? failureFate(grants.at(-1), placeInRow)
        : answerFate(trail);
    case "not-run":
    case "in-progress":
      return refusalFate(textOf(verdict.reason));
    case "may-have-run":
      return textOf(verdict.reason).includes("caller has left") ? "caller left" : "in doubt";
    default:
      return "process ended";
  }
}

function answerFate({ answered, grants, runs }: Trail): RequestOutcome {
  const ms = Number(answered?.fields.ms);
  const objectiveMs = Number(answered?.fields.objectiveMs ?? Infinity);
  if (ms <= objectiveMs) {
    return "in time";
  }
  const inLine = grants.reduce((sum, g) => sum + Number(g.fields.waitedMs), 0);
  if (inLine > ms / 2) {
    return "late: in line";
  }
  return Number(runs.at(-1)?.fields.ms) > ms / 2 ? "late: at the target" : "late: otherwise";
}

function failureFate(grant: LogLine | undefined, placeInRow: number): RequestOutcome {
  const load = grant?.fields.load as { suspect?: boolean } | undefined;
  if (load?.suspect) {
    return "failed: known suspect";
  }
  if (placeInRow <= 1) {
    return "failed: first";
  }
  return placeInRow === 2 ? "failed: second in a row" : "failed: later in a row";
}

function refusalFate(reason: string): RequestOutcome {
  return REFUSALS.find(([part]) => reason.includes(part))?.[1] ?? "refused: otherwise";
}

function lossOf(fate: RequestOutcome): number {
  if (fate === "in time" || fate === "caller left") {
    return 0;
  }
  return fate.startsWith("late") ? LATE_LOSS : 1;
}

function verdictOf(answered: LogLine | undefined): Readonly<Record<string, unknown>> {
  const verdict = answered?.fields.verdict;
  return typeof verdict === "object" && verdict !== null
    ? (verdict as Readonly<Record<string, unknown>>)
    : {};
}

function reasonOf(answered: LogLine | undefined): string {
  return textOf(verdictOf(answered).reason);
}

function textOf(value: unknown): string {
  return typeof value === "string" ? value : "";
}
