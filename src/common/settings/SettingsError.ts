import type { DocumentProblem } from "../document/DocumentProblem.ts";

/** A settings file that cannot be used, with everything that is wrong with it. */
export class SettingsError extends Error {
  constructor(path: string, problems: readonly DocumentProblem[]) {
    const lines = problems.map((p) => `${path}:${p.line}: ${p.field || "(yaml)"}: ${p.message}`);
    super(lines.join("\n"));
    this.name = "SettingsError";
  }
}
