import type { DocumentProblem } from "./DocumentProblem.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";
import { validateDocument } from "./validateDocument.ts";
import { YamlSource } from "./YamlSource.ts";

/** The result of {@link parseOperatorDocument}. */
type ParseResult =
  | { readonly ok: true; readonly doc: OperatorDocument }
  | { readonly ok: false; readonly problems: readonly DocumentProblem[] };

/**
 * Parses and validates the operators' YAML document. Each problem gives its line
 * (1-based) and field path; problems are sorted by line.
 */
export function parseOperatorDocument(text: string): ParseResult {
  const source = new YamlSource(text);
  if (source.problems.length > 0) {
    return { ok: false, problems: source.problems };
  }
  const checked = validateDocument(source.value);
  if (checked.ok) {
    return checked;
  }
  const problems = [
    ...checked.issues.flatMap((issue) => source.problemsOf(issue)),
    ...checked.violations.map((v) => source.problemAt(v.path, v.message)),
  ];
  return { ok: false, problems: problems.sort((a, b) => a.line - b.line) };
}
