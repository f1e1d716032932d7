import { z } from "zod";
import type { LogLine } from "./LogLine.ts";

const Line = z.looseObject({
  id: z.string(),
  time: z.string(),
  msg: z.string(),
});

/**
 * Parses a log that holds the lines of one process or of several interleaved. Text before
 * the JSON of a line (such as a log collector's time and host) and lines without JSON are skipped.
 */
export function parseLog(text: string): LogLine[] {
  const counts = new Map<string, number>();
  return text.split("\n").flatMap((raw) => {
    const parsed = parseLine(raw);
    if (!parsed) {
      return [];
    }
    const { id, time, msg, ...fields } = parsed;
    const index = counts.get(id) ?? 0;
    counts.set(id, index + 1);
    return [{ process: id, index, time, msg, fields }];
  });
}

function parseLine(raw: string): z.infer<typeof Line> | undefined {
  const start = raw.indexOf("{");
  if (start < 0) {
    return undefined;
  }
  try {
    return Line.safeParse(JSON.parse(raw.slice(start))).data;
  } catch {
    return undefined; // Truncated by a crash, or written by another program.
  }
}
