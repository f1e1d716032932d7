import test from "ava";
import { seededRandom } from "../../../test/fixtures/seededRandom.ts";
import { returnAfterMs } from "./returnAfterMs.ts";

const cases = [
  { name: "an objective that can be met", objectiveLeftMs: 1500, sample: 0.5, expected: 300 },
  {
    name: "the earliest of callers refused together",
    objectiveLeftMs: 1500,
    sample: 0,
    expected: 225,
  },
  { name: "the latest of them", objectiveLeftMs: 1500, sample: 0.999, expected: 375 },
  {
    name: "an objective that is nearly out of reach",
    objectiveLeftMs: 800,
    sample: 0.5,
    expected: 100,
  },
  {
    name: "an objective that cannot be met any more",
    objectiveLeftMs: 699,
    sample: 0,
    expected: 1000,
  },
  { name: "an objective of many seconds", objectiveLeftMs: 9000, sample: 0.5, expected: 1000 },
];

for (const { name, expected, ...rest } of cases) {
  test(`return of a refused caller: ${name}`, (t) => {
    t.is(returnAfterMs({ suggestedMs: 1000, typicalMs: 600, ...rest }), expected);
  });
}

/** Share of the callers that are served within the objective by targets that refuse at random, with `tries` each. */
function shareServedInTime(refusedShare: number, tries: number, choose: typeof returnAfterMs) {
  const [objectiveMs, typicalMs, count] = [1600, 590, 2000];
  const random = seededRandom(7);
  let served = 0;
  for (let n = 0; n < count; n++) {
    let ms = 0;
    for (let attempt = 0; attempt < tries && ms + typicalMs <= objectiveMs; attempt++) {
      if (random() >= refusedShare) {
        served += 1;
        break;
      }
      const objectiveLeftMs = objectiveMs - ms;
      ms += choose({ suggestedMs: 1000, objectiveLeftMs, typicalMs, sample: random() });
    }
  }
  return served / count;
}

test("callers that random refusals send away are served within their objective", (t) => {
  // Guards against a Retry-After past the time at which the caller could still be served within its objective.
  const before = shareServedInTime(0.55, 4, ({ suggestedMs }) => suggestedMs);
  const after = shareServedInTime(0.55, 4, returnAfterMs);
  t.log({ before, after });
  t.true(before < 0.75);
  t.true(after > 0.85);
});
