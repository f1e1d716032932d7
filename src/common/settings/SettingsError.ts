import type { DocumentProblem } from "../document/DocumentProblem.ts";

/** A settings file is invalid; the message lists every problem with its line and field. */
export class SettingsError extends Error {
  constructor(path: string, problems: readonly DocumentProblem[]) {
    const lines = problems.map((p) => `${path}:${p.line}: ${p.field || "(yaml)"}: ${p.message}`);
    super(lines.join("\n"));
    this.name = "SettingsError";
  }
}
