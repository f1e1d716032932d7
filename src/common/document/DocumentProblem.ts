/** One problem in the operators' document or a settings file, with its location and a description. */
export interface DocumentProblem {
  /** 1-based line of the offending node, or of its nearest parent when the node is missing. */
  readonly line: number;
  /** Dotted field path, such as `services.0.floor`; empty for a YAML syntax error. */
  readonly field: string;
  readonly message: string;
}
