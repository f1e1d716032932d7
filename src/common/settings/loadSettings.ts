import { readFileSync } from "node:fs";
import type { z } from "zod";
import { YamlSource } from "../document/YamlSource.ts";
import { SettingsError } from "./SettingsError.ts";

/**
 * Reads and validates a YAML settings file. Throws a {@link SettingsError} that lists
 * every problem with its file, line and field.
 */
export function loadSettings<T>(path: string, schema: z.ZodType<T>): T {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (err) {
    const message = err instanceof Error ? err.message : String(err);
    throw new SettingsError(path, [{ line: 0, field: "", message }]);
  }
  const source = new YamlSource(text);
  if (source.problems.length > 0) {
    throw new SettingsError(path, source.problems);
  }
  const checked = schema.safeParse(source.value);
  if (!checked.success) {
    const problems = checked.error.issues.flatMap((issue) => source.problemsOf(issue));
    throw new SettingsError(
      path,
      problems.sort((a, b) => a.line - b.line),
    );
  }
  return checked.data;
}
