/** An entry of KNOWN-RED.txt: a test that may fail until its fault is fixed. */
export interface KnownFailure {
  /** Path of the test file from the root of the repository. */
  readonly file: string;
  /** The whole title of the test. */
  readonly title: string;
  /** The entry as it is written. */
  readonly line: string;
}
