import test from "ava";
import { LongestDuration } from "./LongestDuration.ts";

/** What is assumed of the durations, ms. */
const ASSUMED_MS = 400;

/** Durations that have been added, ms, and the upper end that is estimated from them. */
const cases: readonly { what: string; added: readonly number[]; upperMs: number }[] = [
  { what: "the assumption holds without any", added: [], upperMs: ASSUMED_MS },
  { what: "one short one alone does not refute it", added: [40], upperMs: ASSUMED_MS },
  { what: "a long one refutes it at once", added: [900], upperMs: 1125 },
  { what: "several short ones lower it", added: repeat(40, 16), upperMs: 40 * 5 },
  { what: "many are trusted more than a few", added: repeat(40, 64), upperMs: 40 * 2 },
  { what: "the longest counts, not the mean", added: [900, ...repeat(40, 255)], upperMs: 1125 },
  { what: "an old one is forgotten", added: [900, ...repeat(40, 256)], upperMs: 50 },
];

for (const { what, added, upperMs } of cases) {
  test(`longest duration: ${what}`, (t) => {
    // Guards against a run that outlasts the time reserved for it, and against a target that idles for want of runs.
    const longest = new LongestDuration();
    added.forEach((ms) => {
      longest.add(ms);
    });
    t.is(longest.upperMs(ASSUMED_MS), upperMs);
  });
}

function repeat(ms: number, times: number): number[] {
  return Array<number>(times).fill(ms);
}
