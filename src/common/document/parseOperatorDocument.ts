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
  /** Line of the node at `path`, or of its nearest parent when it is missing. */
  const lineOf = (path: readonly (string | number)[]): number => {
    for (let depth = path.length; depth >= 0; depth--) {
      const node = yamlDoc.getIn(path.slice(0, depth), true) as
        { range?: [number, number, number] } | undefined;
      if (node?.range) {
        return lines.linePos(node.range[0]).line;
      }
    }
    return 1;
  };
  const checked = OperatorDocument.safeParse(yamlDoc.toJS());
  if (checked.success) {
    return { ok: true, doc: checked.data };
  }
  const problems = checked.error.issues.map((issue) => {
    const path = issue.path.map((p) => (typeof p === "symbol" ? p.toString() : p));
    return { line: lineOf(path), field: path.join("."), message: issue.message };
  });
  return { ok: false, problems };
}
