import test from "ava";
import { ElapsedClock } from "./ElapsedClock.ts";

/** Advances of the monotonic clock and of the time of day, ms, and the least time that must count as elapsed. */
const cases: readonly {
  name: string;
  steps: [number, number][];
  atLeast: number;
  atMost: number;
}[] = [
  { name: "both clocks advance alike", steps: [[1000, 1000]], atLeast: 1000, atMost: 1000 },
  { name: "the VM was suspended", steps: [[100, 4100]], atLeast: 4100, atMost: 4100 },
  { name: "the time of day is set forward", steps: [[100, 2100]], atLeast: 100, atMost: 2100 },
  { name: "the time of day is set back", steps: [[1000, -1000]], atLeast: 1000, atMost: 1000 },
  {
    name: "the time of day is set back, then the VM is suspended",
    steps: [
      [1000, -1000],
      [10, 3010],
    ],
    atLeast: 4010,
    atMost: 4010,
  },
  {
    name: "the time of day gains on the monotonic clock by little at a time",
    steps: Array.from({ length: 100 }, (): [number, number] => [1000, 1015]),
    atLeast: 101_450,
    atMost: 101_500,
  },
];

for (const { name, steps, atLeast, atMost } of cases) {
  test(`elapsed clock: ${name}`, (t) => {
    let monotonic = 50;
    let wall = 1_700_000_000_000;
    const clock = new ElapsedClock(
      () => monotonic,
      () => wall,
    );
    const before = clock.now();
    for (const [monotonicMs, wallMs] of steps) {
      monotonic += monotonicMs;
      wall += wallMs;
      clock.now();
    }
    const elapsed = clock.now() - before;
    t.true(elapsed >= atLeast && elapsed <= atMost, `${elapsed} ms`);
  });
}
