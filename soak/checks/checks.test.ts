import test from "ava";
import type { CallRecord, History, TargetRecord } from "../History.ts";
import { CallKind } from "../SoakPlan.ts";
import { allChecks } from "./allChecks.ts";

const BUDGET = { ratio: 0.2, windowMs: 5000, slack: 2 };

const call = (over: Partial<CallRecord>): CallRecord => ({
  tag: "booking-1",
  kind: CallKind.Booking,
  service: "bookings",
  via: "desk-0",
  resendOf: undefined,
  sentAt: 10_000,
  endedAt: 10_100,
  status: 200,
  verdict: "done",
  bodyTag: over.tag ?? "booking-1",
  isWhole: true,
  hadBegun: true,
  ...over,
});

const reached = (over: Partial<TargetRecord>): TargetRecord => ({
  at: 10_050,
  target: "bookings-0",
  service: "bookings",
  tag: "booking-1",
  event: "ran",
  ...over,
});

const EMPTY: History = {
  calls: [],
  targets: [],
  stops: [],
  configs: [],
  configLooks: [],
  readyLooks: [],
  disturbances: [],
  drains: [],
  uses: [],
  faultsEndAt: 20_000,
  endAt: 40_000,
};

const many = <T>(count: number, make: (n: number) => T): T[] =>
  Array.from({ length: count }, (_, n) => make(n));

/** Bookings of which one in four is refused, over 2 s. */
const shortOfRoom = many(40, (n) =>
  call({ tag: `booking-${n}`, sentAt: 10_000 + n * 50, ...(n % 4 === 0 ? { status: 503 } : {}) }),
);

/** Ten targets, of which so many get work all the time, and the others long ago. */
const usedOf = (used: number): TargetRecord[] => [
  ...many(10, (n) => reached({ target: `bookings-${n}`, event: "arrived", at: 3000 })),
  ...many(30, (step) =>
    many(used, (n) =>
      reached({ target: `bookings-${n}`, event: "arrived", at: 8000 + step * 200 }),
    ),
  ).flat(),
];

const stop = { on: "desk-0", at: 10_000, endedAt: 13_000, code: 0 };

const accepted = (change: number, version: number, acceptedAt: number) => ({
  change,
  version,
  sentAt: acceptedAt - 50,
  acceptedAt,
  outcome: "accepted" as const,
});

const look = (at: number, version: number, isThere: boolean, life = 1) => ({
  at,
  via: "desk-0",
  life,
  version,
  isThere,
});

const cases: readonly {
  guarantee: RegExp;
  /** A history that keeps the guarantee, though nearly not... */
  kept: Partial<History>;
  /** ...and ones that break it. */
  broken: readonly Partial<History>[];
}[] = [
  {
    guarantee: /own whole answer/,
    kept: { calls: [call({}), call({ tag: "k.1", resendOf: "k", bodyTag: "k" })] },
    broken: [
      { calls: [call({ bodyTag: "booking-2" })] },
      { calls: [call({ isWhole: false })] },
      { calls: [call({ bodyTag: undefined })] },
    ],
  },
  {
    guarantee: /"not run" is true/,
    kept: {
      calls: [
        call({ status: 503, verdict: "not-run" }),
        call({ tag: "b", status: 502, verdict: "may-have-run" }),
      ],
      targets: [reached({ event: "shed" }), reached({ tag: "b" })],
    },
    broken: [{ calls: [call({ status: 503, verdict: "not-run" })], targets: [reached({})] }],
  },
  {
    guarantee: /at most once/,
    kept: {
      calls: [call({}), call({ tag: "check-1", kind: CallKind.Check })],
      targets: [reached({}), ...many(2, () => reached({ tag: "check-1" }))],
    },
    broken: [
      { calls: [call({})], targets: many(2, (n) => reached({ target: `bookings-${n}` })) },
      {
        calls: [call({ tag: "k" }), call({ tag: "k.1", resendOf: "k" })],
        targets: [reached({ tag: "k" }), reached({ tag: "k.1" })],
      },
    ],
  },
  {
    guarantee: /retry budget/,
    kept: {
      calls: many(10, (n) => call({ tag: `c${n}` })),
      targets: many(5, () => reached({ tag: "c0", event: "arrived" })),
    },
    broken: [
      {
        calls: many(10, (n) => call({ tag: `c${n}` })),
        targets: many(6, () => reached({ tag: "c0", event: "arrived" })),
      },
      {
        // A check is sent twice, and its second run makes three calls.
        calls: [],
        targets: [
          ...many(2, () => reached({ service: "desk", tag: "p", event: "arrived" })),
          ...many(3, (n) => reached({ service: "ledger", tag: `p~${n}`, event: "arrived" })),
        ],
      },
    ],
  },
  {
    guarantee: /sound targets stay in use/,
    kept: {
      calls: shortOfRoom,
      targets: usedOf(7),
    },
    broken: [
      {
        calls: shortOfRoom,
        targets: usedOf(6),
      },
    ],
  },
  {
    guarantee: /leaving target/,
    kept: {
      drains: [{ target: "bookings-0", at: 10_000 }],
      targets: [reached({ event: "arrived", at: 11_900 })],
    },
    broken: [
      {
        drains: [{ target: "bookings-0", at: 10_000 }],
        targets: [reached({ event: "arrived", at: 12_100 })],
      },
    ],
  },
  {
    guarantee: /stop cuts/,
    kept: {
      stops: [stop],
      calls: [
        call({ status: 0, sentAt: 12_900, endedAt: 13_000, hadBegun: false }),
        call({ status: 0, sentAt: 9000, endedAt: 12_000, via: "desk-1" }),
      ],
    },
    broken: [
      { stops: [stop], calls: [call({ status: 0, sentAt: 12_000, endedAt: 13_000 })] },
      { stops: [stop], calls: [call({ status: 0, sentAt: 12_950, endedAt: 13_000 })] },
    ],
  },
  {
    guarantee: /stop ends/,
    kept: { stops: [stop] },
    broken: [{ stops: [{ ...stop, endedAt: 18_000 }] }, { stops: [{ ...stop, code: 1 }] }],
  },
  {
    guarantee: /accepted document/,
    kept: {
      configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
      configLooks: [
        look(11_900, 2, false),
        look(12_100, 2, true),
        look(12_200, 1, false),
        look(13_000, 1, true, 2),
      ],
    },
    broken: [
      {
        configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
        configLooks: [look(12_100, 2, false)],
      },
      {
        configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
        configLooks: [look(10_500, 2, true), look(11_000, 1, true)],
      },
    ],
  },
  {
    guarantee: /takes new connections/,
    kept: {
      readyLooks: many(7, (n) => ({
        at: n * 500,
        via: "desk-0",
        isReady: true,
        isAnswered: n === 3,
      })),
    },
    broken: [
      {
        readyLooks: many(6, (n) => ({
          at: n * 500,
          via: "desk-0",
          isReady: true,
          isAnswered: false,
        })),
      },
    ],
  },
  {
    guarantee: /after the last fault/,
    kept: {
      calls: many(10, (n) => call({ sentAt: 29_000, status: n === 0 ? 503 : 200 })),
    },
    broken: [{ calls: many(10, (n) => call({ sentAt: 29_000, status: n < 2 ? 503 : 200 })) }],
  },
  {
    guarantee: /outgrows/,
    kept: { uses: [{ at: 0, name: "desk-0", life: 1, rssMb: 350, descriptors: 90 }] },
    broken: [
      { uses: [{ at: 0, name: "desk-0", life: 1, rssMb: 351, descriptors: 90 }] },
      { uses: [{ at: 0, name: "desk-0", life: 1, rssMb: 90, descriptors: 2001 }] },
    ],
  },
];

const checks = allChecks(BUDGET);

test("checks: every guarantee has a history that breaks it", (t) => {
  const covered = checks.filter((c) => cases.some(({ guarantee }) => guarantee.test(c.guarantee)));
  t.is(covered.length, checks.length);
});

for (const { guarantee, kept, broken } of cases) {
  const check = checks.find((c) => guarantee.test(c.guarantee));
  test(`checks: "${check?.guarantee ?? ""}" is found broken, and only then`, (t) => {
    t.deepEqual(check?.run({ ...EMPTY, ...kept }).violations, []);
    for (const history of broken) {
      t.true((check?.run({ ...EMPTY, ...history }).violations.length ?? 0) > 0);
    }
  });
}
