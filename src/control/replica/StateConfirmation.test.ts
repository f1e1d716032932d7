import test from "ava";
import { StateConfirmation } from "./StateConfirmation.ts";

const FIRST = 1000;

/** Replies sent at these times, ms; then appends at `now`, with the index of the echoed reply. */
const cases: readonly {
  name: string;
  repliesAt: readonly number[];
  now: number;
  appends: readonly { echo: number; ageMs: number }[];
  expected: number;
}[] = [
  { name: "no append yet", repliesAt: [10], now: 50, appends: [], expected: Infinity },
  {
    name: "an append delayed by 5 s counts from the reply that it echoes",
    repliesAt: [10],
    now: 5020,
    appends: [{ echo: FIRST + 1, ageMs: 30 }],
    expected: 5040,
  },
  {
    name: "the most recent confirmation counts, in whatever order the appends arrive",
    repliesAt: [10, 110],
    now: 200,
    appends: [
      { echo: FIRST + 2, ageMs: 20 },
      { echo: FIRST + 1, ageMs: 20 },
    ],
    expected: 110,
  },
  {
    name: "the echo of a reply of an earlier incarnation confirms nothing",
    repliesAt: [10],
    now: 200,
    appends: [{ echo: 7, ageMs: 0 }],
    expected: Infinity,
  },
  {
    name: "an append before any reply confirms nothing",
    repliesAt: [],
    now: 200,
    appends: [{ echo: 0, ageMs: 0 }],
    expected: Infinity,
  },
];

for (const { name, repliesAt, now, appends, expected } of cases) {
  test(`state confirmation: ${name}`, (t) => {
    let time = 0;
    const confirmation = new StateConfirmation(() => time, FIRST);
    for (const at of repliesAt) {
      time = at;
      confirmation.nextReply();
    }
    time = now;
    for (const { echo, ageMs } of appends) {
      confirmation.confirm(echo, ageMs);
    }
    t.is(confirmation.ageMs, expected);
  });
}
