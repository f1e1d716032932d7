import test from "ava";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { SlotRequestQueue } from "./SlotRequestQueue.ts";
import { WaitEstimator } from "./WaitEstimator.ts";

/** Five slots, half a second a request: a turn every 100 ms. */
const PACE = { slots: 5, serviceMs: 500 };

/** Objective of those that come in time, ms, and time that they take. */
const OBJECTIVE_MS = 1500;
const WORK_MS = 500;

const onTime = (attempt: string) => ({
  request: makeSlotRequest({ attempt, objectiveMs: OBJECTIVE_MS, typicalMs: WORK_MS }),
  askedAt: 0,
});

const late = (attempt: string) => ({
  request: makeSlotRequest({ attempt, objectiveMs: 100, typicalMs: WORK_MS }),
  askedAt: 0,
});

const cases: readonly {
  name: string;
  line: readonly ReturnType<typeof onTime>[];
  /** Grants before: on time or late. */
  lateGrants: readonly boolean[];
  who: ReturnType<typeof onTime>;
  waitMs: [least: number, most: number];
}[] = [
  {
    name: "alone in line, the next turn",
    line: [],
    lateGrants: [],
    who: onTime("a"),
    waitMs: [100, 100],
  },
  {
    name: "half of those before it take another gate's grant",
    line: Array.from({ length: 6 }, (_, n) => onTime(`a${n}`)),
    lateGrants: [],
    who: onTime("b"),
    waitMs: [400, 400],
  },
  {
    name: "one in time does not wait for the late ones",
    line: Array.from({ length: 6 }, (_, n) => late(`a${n}`)),
    lateGrants: [],
    who: onTime("b"),
    waitMs: [100, 100],
  },
  {
    name: "a late one is served soon where late ones have been",
    line: [late("a")],
    lateGrants: Array.from({ length: 20 }, () => true),
    who: late("b"),
    waitMs: [150, 150],
  },
  {
    // Story: more comes than can be served. Whoever is late waits behind everybody who is not, and
    // its turn never came; it was held until its time was up, and refused only then.
    name: "a late one waits for long where all slots go to others",
    line: [late("a")],
    lateGrants: Array.from({ length: 20 }, () => false),
    who: late("b"),
    waitMs: [3000, 4000],
  },
  {
    name: "one that will be late by its turn stands with the late ones",
    line: Array.from({ length: 30 }, (_, n) => onTime(`a${n}`)),
    lateGrants: Array.from({ length: 20 }, () => false),
    who: onTime("b"),
    waitMs: [3000, 5000],
  },
];

const callsFirst: readonly { name: string; callGrants: number; isCall: boolean; waitMs: number }[] =
  [
    {
      name: "where no calls come, an own one has the next turn",
      callGrants: 0,
      isCall: false,
      waitMs: 100,
    },
    {
      name: "where half of the slots go to calls, every other turn",
      callGrants: 10,
      isCall: false,
      waitMs: 191,
    },
    // Story: calls take nearly all that a target can do. Downloads stood in line until their time was up.
    {
      name: "where nearly all go to calls, hardly any",
      callGrants: 18,
      isCall: false,
      waitMs: 700,
    },
    {
      name: "a call does not wait for calls that come after it",
      callGrants: 18,
      isCall: true,
      waitMs: 100,
    },
  ];

for (const { name, callGrants, isCall, waitMs } of callsFirst) {
  test(`line forecast: ${name}`, (t) => {
    const estimator = new WaitEstimator();
    for (let n = 0; n < 20; n++) {
      estimator.recordGrant({ isCall: n < callGrants, isLate: false });
    }
    const request = makeSlotRequest({ isCall, objectiveMs: OBJECTIVE_MS, typicalMs: WORK_MS });
    const ms = estimator.waitMs({ request, askedAt: 0 }, new SlotRequestQueue(), 0, PACE);
    t.is(Math.round(ms), waitMs);
  });
}

for (const { name, line, lateGrants, who, waitMs } of cases) {
  test(`line forecast: ${name}`, (t) => {
    const estimator = new WaitEstimator();
    lateGrants.forEach((wasLate) => {
      estimator.recordGrant({ isCall: false, isLate: wasLate });
    });
    const queue = new SlotRequestQueue();
    line.forEach((waiting) => {
      queue.add(waiting);
    });
    const ms = estimator.waitMs(who, queue, 0, PACE);
    t.true(ms >= waitMs[0] && ms <= waitMs[1], `${ms} ms`);
  });
}
