import { readFileSync } from "node:fs";
import { parse } from "yaml";
import { DaemonSettings } from "./DaemonSettings.ts";

/** Reads and validates the daemon's YAML settings file; throws with every problem listed. */
export function loadDaemonSettings(path: string): DaemonSettings {
  const checked = DaemonSettings.safeParse(parse(readFileSync(path, "utf8")));
  if (!checked.success) {
    const problems = checked.error.issues.map(
      (i) => `${i.path.join(".") || "(top)"}: ${i.message}`,
    );
    throw new Error(`${path}: invalid settings\n  ${problems.join("\n  ")}`);
  }
  return checked.data;
}
