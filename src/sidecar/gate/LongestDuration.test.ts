import test from "ava";
import { LongestDuration } from "./LongestDuration.ts";

/** Durations that have been added, ms, and the upper end that is estimated from them. */
const cases: readonly { what: string; added: readonly number[]; upperMs: number | undefined }[] = [
  { what: "nothing is known without any", added: [], upperMs: undefined },
  { what: "one alone says little", added: [40], upperMs: 40 * 65 },
  { what: "many are trusted more than a few", added: repeat(40, 64), upperMs: 40 * 2 },
  { what: "the longest counts, not the mean", added: [900, ...repeat(40, 255)], upperMs: 1125 },
  { what: "an old one is forgotten", added: [900, ...repeat(40, 256)], upperMs: 50 },
];

for (const { what, added, upperMs } of cases) {
  test(`longest duration: ${what}`, (t) => {
    // Guards against a run that outlasts the time reserved for it, and against a target that idles for an old slow run.
    const longest = new LongestDuration();
    added.forEach((ms) => {
      longest.add(ms);
    });
    t.is(longest.upperMs, upperMs);
  });
}

function repeat(ms: number, times: number): number[] {
  return Array<number>(times).fill(ms);
}
