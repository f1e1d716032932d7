import type { LogLine } from "../logs/LogLine.ts";
import type { RequestTimeline } from "./RequestTimeline.ts";

/** Fields that every line has, or that the line's heading says already. */
const HEADING = new Set(["name", "role", "hostname", "pid", "level", "v", "attempt"]);

/** A timeline as text for a terminal. */
export function renderTimeline({
  attempt,
  cause,
  steps,
  beliefs,
  missing,
}: RequestTimeline): string {
  const parts = [`request ${attempt}: ${cause}`];
  if (steps.length > 0) {
    parts.push("", "what was decided:", ...steps.map(renderLine));
  }
  if (beliefs.length > 0) {
    parts.push("", "what the processes had come to believe before:", ...beliefs.map(renderLine));
  }
  if (missing.length > 0) {
    parts.push("", "not found in these logs:", ...missing.map((m) => `  ${m}`));
  }
  return parts.join("\n") + "\n";
}

function renderLine({ process, time, msg, fields }: LogLine): string {
  const shown = Object.entries(fields).filter(([key]) => !HEADING.has(key));
  const said = shown.map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return `  ${time}  ${process}  ${msg}  ${said.join(" ")}`;
}
