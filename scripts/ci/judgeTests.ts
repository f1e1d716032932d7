import type { KnownFailure } from "./KnownFailure.ts";
import type { TestRun } from "./TestRun.ts";

/** The verdict on a run of all tests. */
interface TestVerdict {
  /** Number of tests that passed. */
  readonly passed: number;
  /** Problems that are not listed, each of which fails the run. */
  readonly problems: readonly string[];
  /** What else is to be printed: listed tests that failed, and those that passed. */
  readonly notes: readonly string[];
}

/** Exit code of the runner when tests have failed. */
const TESTS_FAILED = 1;

/**
 * Judges a run: only listed tests may fail, by their file and whole title. An exit code that failed tests don't explain,
 * output that ends early, and an entry whose test did not run are problems too.
 *
 * @param exitCode exit code of the runner, as reported by the shell
 */
export function judgeTests(
  { passed, failed, planned }: TestRun,
  exitCode: number,
  known: readonly KnownFailure[],
): TestVerdict {
  const entryOf = new Map(known.map((entry) => [fullName(entry), entry]));
  const results = new Set([...passed, ...failed]);
  const problems = failed.filter((name) => !entryOf.has(name)).map((name) => `failed: ${name}`);
  if (planned !== passed.length + failed.length) {
    problems.push(`${passed.length + failed.length} results, ${planned ?? "no number"} announced`);
  }
  if (exitCode !== (failed.length > 0 ? TESTS_FAILED : 0)) {
    problems.push(`the test runner exited with ${exitCode}, which no failed test explains`);
  }
  for (const [name, { line }] of entryOf) {
    if (!results.has(name)) {
      problems.push(`listed as known red, but not run: ${line}`);
    }
  }
  const notes = [
    ...failed.filter((name) => entryOf.has(name)).map((name) => `known red, passed over: ${name}`),
    ...passed
      .filter((name) => entryOf.has(name))
      .map((name) => `listed as known red, and passed: ${name}`),
  ];
  return { passed: passed.length, problems, notes };
}

/** The name under which the runner reports a listed test: the path of its file without suffix, and its title. */
function fullName({ file, title }: KnownFailure): string {
  return [...file.replace(/\.test\.ts$/, "").split("/"), title].join(" › ");
}
