import { LineCounter, parseDocument } from "yaml";
import { OperatorDocument } from "./OperatorDocument.ts";
import type { DocumentProblem } from "./DocumentProblem.ts";

/** The result of {@link parseOperatorDocument}. */
type ParseResult =
  | { readonly ok: true; readonly doc: OperatorDocument }
  | { readonly ok: false; readonly problems: readonly DocumentProblem[] };

/**
 * Parses and validates the operators' YAML document. Problems name the line
 * (1-based) and the field path, so an operator can find each one.
 */
export function parseOperatorDocument(text: string): ParseResult {
  const lines = new LineCounter();
  const yamlDoc = parseDocument(text, { lineCounter: lines, prettyErrors: false });
  if (yamlDoc.errors.length > 0) {
    return {
      ok: false,
      problems: yamlDoc.errors.map((err) => ({
        line: lines.linePos(err.pos[0]).line,
        field: "",
        message: err.message,
      })),
    };
  }
  const checked = OperatorDocument.safeParse(yamlDoc.toJS());
  if (checked.success) {
    return { ok: true, doc: checked.data };
  }
  const problems = checked.error.issues.map((issue) => {
    const path = issue.path.map((p) => (typeof p === "symbol" ? p.toString() : p));
    const node = yamlDoc.getIn(path, true) as { range?: [number, number, number] } | undefined;
    const line = node?.range ? lines.linePos(node.range[0]).line : 1;
    return { line, field: path.join("."), message: issue.message };
  });
  return { ok: false, problems };
}
