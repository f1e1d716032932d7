/** One problem in an operators' document, where it is and what is wrong. */
export interface DocumentProblem {
  /** 1-based line of the offending node (its parent's line when it is missing). */
  readonly line: number;
  /** Dotted field path, such as `services.0.floor`; empty for a YAML syntax error. */
  readonly field: string;
  readonly message: string;
}
