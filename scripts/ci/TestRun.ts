/** The output of a test runner, in the Test Anything Protocol. */
export interface TestRun {
  /** Full names of the tests that passed: the parts of the path of the file, and the title. */
  readonly passed: readonly string[];
  readonly failed: readonly string[];
  /** Number of results that the runner announced; undefined if its output ends before that. */
  readonly planned: number | undefined;
}
