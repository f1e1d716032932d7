import { LineCounter, parseDocument, type Document } from "yaml";
import type { z } from "zod";
import type { DocumentProblem } from "./DocumentProblem.ts";

type Path = readonly (string | number)[];

/** A parsed YAML text that can give the line of each of its values. */
export class YamlSource {
  readonly #lines = new LineCounter();
  readonly #doc: Document.Parsed;

  constructor(text: string) {
    this.#doc = parseDocument(text, { lineCounter: this.#lines, prettyErrors: false });
  }

  /** Syntax errors; empty when the text is valid YAML. */
  get problems(): DocumentProblem[] {
    return this.#doc.errors.map((err) => ({
      line: this.#lines.linePos(err.pos[0]).line,
      field: "",
      message: err.message,
    }));
  }

  /** The text as plain JavaScript values. */
  get value(): unknown {
    return this.#doc.toJS() as unknown;
  }

  /** Converts a schema issue to problems: one for each unknown key, at the key's own line. */
  problemsOf(issue: z.core.$ZodIssue): DocumentProblem[] {
    const path = issue.path.map((p) => (typeof p === "symbol" ? p.toString() : p));
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) => this.problemAt([...path, key], "unknown key"));
    }
    return [this.problemAt(path, issue.message)];
  }

  /** A problem at `path`, with the line of its node, or of its nearest parent if the node is missing. */
  problemAt(path: Path, message: string): DocumentProblem {
    return { line: this.#lineOf(path), field: path.join("."), message };
  }

  #lineOf(path: Path): number {
    for (let depth = path.length; depth >= 0; depth--) {
      const node = this.#doc.getIn(path.slice(0, depth), true) as
        { range?: [number, number, number] } | undefined;
      if (node?.range) {
        return this.#lines.linePos(node.range[0]).line;
      }
    }
    return 1;
  }
}
