import test from "ava";
import { judgeTests } from "./judgeTests.ts";
import { parseKnownFailures } from "./parseKnownFailures.ts";
import { parseTap } from "./parseTap.ts";

const KNOWN = [
  'test/a.test.ts › drains under "load" | npx ava test/a.test.ts | 2 of 3 | issue 1',
  "src/x/B.test.ts › late: done | npx ava src/x/B.test.ts, seed 4 | once | issue 2",
].join("\n");

const LISTED = ['test › a › drains under "load"', "src › x › B › late: done"] as const;

/** TAP output with these results. */
const tap = (passed: readonly string[], failed: readonly string[], planned?: number) =>
  [
    "TAP version 13",
    ...passed.map((name, n) => `ok ${n + 1} - ${name}`),
    ...failed.map((name, n) => `not ok ${passed.length + n + 1} - ${name}\n  ---\n  at: x\n  ...`),
    ...(planned === -1 ? [] : ["", `1..${planned ?? passed.length + failed.length}`]),
  ].join("\n");

const cases: readonly {
  name: string;
  output: string;
  exitCode: number;
  /** Patterns of the problems, in order. */
  problems: readonly RegExp[];
  notes?: readonly RegExp[];
}[] = [
  {
    name: "all passed, the listed ones too",
    output: tap(["test › c › fine", ...LISTED], []),
    exitCode: 0,
    problems: [],
    notes: [/and passed: test › a/, /and passed: src › x/],
  },
  {
    name: "a listed test failed",
    output: tap(["test › c › fine", LISTED[0]], [LISTED[1]]),
    exitCode: 1,
    problems: [],
    notes: [/passed over: src › x › B › late: done/, /and passed: test › a/],
  },
  // Guards against passing over a failure whose title is a part of a listed text.
  {
    name: "a test failed whose title is a part of a listed one",
    output: tap(LISTED, ["test › a › drains"]),
    exitCode: 1,
    problems: [/^failed: test › a › drains$/],
  },
  {
    name: "a test failed with a listed title, in another file",
    output: tap(LISTED, ["test › c › late: done"]),
    exitCode: 1,
    problems: [/^failed: test › c › late: done$/],
  },
  // Guards against a crash of the runner after the last test.
  {
    name: "the runner failed although no test did",
    output: tap(LISTED, []),
    exitCode: 1,
    problems: [/exited with 1/],
  },
  {
    name: "the runner was killed after a listed failure",
    output: tap([LISTED[0]], [LISTED[1]]),
    exitCode: 137,
    problems: [/exited with 137/],
  },
  {
    name: "the runner reported success after a failure",
    output: tap([LISTED[0]], [LISTED[1]]),
    exitCode: 0,
    problems: [/exited with 0/],
  },
  {
    name: "the output ends early",
    output: tap(LISTED, [], -1),
    exitCode: 0,
    problems: [/2 results, no number announced/],
  },
  {
    name: "results are missing",
    output: tap(LISTED, [], 5),
    exitCode: 0,
    problems: [/2 results, 5 announced/],
  },
  {
    name: "a listed test was not run",
    output: tap([LISTED[0]], []),
    exitCode: 0,
    problems: [/not run: src\/x\/B\.test\.ts/],
  },
  {
    name: "a test was skipped",
    output: tap([...LISTED, "test › c › fine # SKIP"], []),
    exitCode: 0,
    problems: [/^failed: test › c › fine # SKIP$/, /exited with 0/],
  },
  {
    name: "a test file failed as a whole",
    output: tap(LISTED, ["Exited because no new tests completed within the last 60000ms"]),
    exitCode: 1,
    problems: [/^failed: Exited because/],
  },
  {
    name: "no output",
    output: "",
    exitCode: 1,
    problems: [/no number/, /exited with 1/, /not run/, /not run/],
  },
];

for (const { name, output, exitCode, problems, notes } of cases) {
  test(`ci: ${name}: ${problems.length} problems`, (t) => {
    const verdict = judgeTests(parseTap(output), exitCode, parseKnownFailures(KNOWN));
    t.is(verdict.problems.length, problems.length, verdict.problems.join("; "));
    problems.forEach((pattern, n) => t.regex(verdict.problems[n] ?? "", pattern));
    notes?.forEach((pattern, n) => t.regex(verdict.notes[n] ?? "", pattern));
  });
}

for (const line of [
  "test/a.test.ts | no title | seen | issue 1",
  "test/a.test.ts › no issue | npx ava | seen",
  "test/a.test.ts › title | npx ava |  | issue 1",
]) {
  test(`ci: a line that is no entry is rejected: ${line}`, (t) => {
    t.throws(() => parseKnownFailures(line));
  });
}
