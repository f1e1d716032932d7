import type { TestRun } from "./TestRun.ts";

const RESULT = /^(ok|not ok) \d+ - (.*)$/;
const PLAN = /^1\.\.(\d+)$/;

/** Parses TAP output; a skipped or unfinished test counts as failed, since it has checked nothing. */
export function parseTap(text: string): TestRun {
  const passed: string[] = [];
  const failed: string[] = [];
  let planned: number | undefined;
  for (const line of text.split("\n")) {
    const [, status, name = ""] = RESULT.exec(line) ?? [];
    const [, count] = PLAN.exec(line) ?? [];
    if (status !== undefined) {
      const isPassed = status === "ok" && !/ # (SKIP|TODO)\b/i.test(name);
      (isPassed ? passed : failed).push(name);
    } else if (count !== undefined) {
      planned = Number(count);
    }
  }
  return { passed, failed, planned };
}
