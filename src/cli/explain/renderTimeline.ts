import type { LogLine } from "../logs/LogLine.ts";
import type { RequestTimeline } from "./RequestTimeline.ts";

/** Fields that every line has, or that the output already shows in its heading. */
const OMITTED_FIELDS = new Set(["name", "role", "hostname", "pid", "level", "v", "attempt"]);

/** Formats a timeline as text for a terminal. */
export function renderTimeline({
  attempt,
  cause,
  steps,
  beliefs,
  missing,
}: RequestTimeline): string {
  const parts = [`request ${attempt}: ${cause}`];
  if (steps.length > 0) {
    parts.push("", "log lines of the request:", ...steps.map(renderLine));
  }
  if (beliefs.length > 0) {
    parts.push(
      "",
      "state changes of these processes before the request:",
      ...beliefs.map(renderLine),
    );
  }
  if (missing.length > 0) {
    parts.push("", "not found in these logs:", ...missing.map((m) => `  ${m}`));
  }
  return parts.join("\n") + "\n";
}

function renderLine({ process, time, msg, fields }: LogLine): string {
  const shown = Object.entries(fields).filter(([key]) => !OMITTED_FIELDS.has(key));
  const fieldTexts = shown.map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return `  ${time}  ${process}  ${msg}  ${fieldTexts.join(" ")}`;
}
