import { readFileSync } from "node:fs";
import { defineCommand, runMain } from "citty";
import { judgeTests } from "./judgeTests.ts";
import { parseKnownFailures } from "./parseKnownFailures.ts";
import { parseTap } from "./parseTap.ts";

const main = defineCommand({
  meta: { name: "ci-judge", description: "Judges the output of a run of all tests." },
  args: {
    tap: { type: "positional", description: "File with the runner's TAP output", required: true },
    exit: { type: "string", description: "Exit code of the runner", required: true },
    known: { type: "string", description: "List of known failures", default: "KNOWN-RED.txt" },
    checks: { type: "string", description: "Number of other checks that failed", default: "0" },
  },
  run({ args }) {
    const { passed, problems, notes } = judge(args);
    [...notes, ...problems].forEach((line) => {
      console.log(line);
    });
    const failed = problems.length + Number(args.checks);
    console.log(`tests: ${passed} passed, ${failed} failed`);
    process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
  },
});

/** Judges a run; output or a list that can't be read is a problem like any other. */
function judge(args: { tap: string; exit: string; known: string }): ReturnType<typeof judgeTests> {
  try {
    const run = parseTap(readFileSync(args.tap, "utf8"));
    const known = parseKnownFailures(readFileSync(args.known, "utf8"));
    return judgeTests(run, Number(args.exit), known);
  } catch (err) {
    return { passed: 0, problems: [String(err)], notes: [] };
  }
}

void runMain(main);
