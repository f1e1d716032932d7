import test from "ava";
import type { CallRecord, History, TargetRecord } from "../History.ts";
import { CallKind } from "../SoakPlan.ts";
import { allChecks } from "./allChecks.ts";

const TIMEOUT_MS = 6000;

const BUDGET = { ratio: 0.2, windowMs: 5000, slack: 2 };

/** A served booking; `over` replaces fields. */
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

/** A target's record of the same booking's run; `over` replaces fields. */
const targetRecord = (over: Partial<TargetRecord>): TargetRecord => ({
  at: 10_050,
  target: "bookings-0",
  service: "bookings",
  tag: "booking-1",
  event: "ran",
  ...over,
});

const EMPTY: History = {
  calls: [],
  unread: [],
  targets: [],
  stops: [],
  configs: [],
  configLooks: [],
  movedLooks: [],
  blackouts: [],
  readyLooks: [],
  disturbances: [],
  drains: [],
  accounts: [],
  limits: [],
  leavings: [],
  slowReads: [],
  uses: [],
  faultsEndAt: 20_000,
  endAt: 40_000,
};

const many = <T>(count: number, make: (n: number) => T): T[] =>
  Array.from({ length: count }, (_, n) => make(n));

/** Bookings over 2 s, one in four of which is refused. */
const quarterRefused = many(40, (n) =>
  call({ tag: `booking-${n}`, sentAt: 10_000 + n * 50, ...(n % 4 === 0 ? { status: 503 } : {}) }),
);

/** Records of ten targets, `used` of which get requests all the time; the others got their last ones long before. */
const withTargetsInUse = (used: number): TargetRecord[] => [
  ...many(10, (n) => targetRecord({ target: `bookings-${n}`, event: "arrived", at: 3000 })),
  ...many(30, (step) =>
    many(used, (n) =>
      targetRecord({ target: `bookings-${n}`, event: "arrived", at: 8000 + step * 200 }),
    ),
  ).flat(),
];

/** Records of targets that one request has ended, at these times. */
const crashed = (times: readonly number[]): TargetRecord[] =>
  times.map((at, n) => targetRecord({ at, tag: `fatal-1.${n}`, event: "crashed" }));

const stop = { on: "desk-0", at: 10_000, endedAt: 13_000, code: 0 };

const accepted = (change: number, version: number, acceptedAt: number) => ({
  change,
  version,
  sentAt: acceptedAt - 50,
  acceptedAt,
  outcome: "accepted" as const,
});

/** A request of a workspace with the key of a change. */
const account = (change: number, sentAt: number, status: number) => ({
  tag: `account-${sentAt}`,
  change,
  via: "desk-0",
  sentAt,
  endedAt: sentAt + 100,
  status,
});

/** Requests of the workspace with a quota, all of which run within 5 s. */
const hotRuns = (count: number): Partial<History> => {
  const accounts = many(count, (n) => ({ ...account(0, 10_000 + n, 200), tag: `hot-${n}` }));
  const targets = accounts.map(({ tag, sentAt }) => targetRecord({ tag, at: sentAt + 50 }));
  return { accounts, targets };
};

const configSample = (at: number, version: number, isThere: boolean, life = 1) => ({
  at,
  via: "desk-0",
  life,
  version,
  isThere,
});

/** A history with a blackout right after version 2 was accepted. */
const afterBlackout = (over: Partial<History>): Partial<History> => ({
  configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
  blackouts: [{ at: 10_100, version: 2 }],
  ...over,
});

/** A target that names 2 requests a second gets `count` requests over `ms`, by a sidecar that was told of it. */
const limited = (count: number, ms: number): Partial<History> => {
  const tags = many(count, (n) => `booking-${n + 2}`);
  const at = (n: number) => 14_000 + (n * ms) / count;
  return {
    limits: [{ target: "bookings-0", perS: 2, from: 9000, until: 30_000 }],
    calls: [call({}), ...tags.map((tag, n) => call({ tag, sentAt: at(n) }))],
    targets: [
      targetRecord({}),
      ...tags.map((tag, n) => targetRecord({ tag, event: "arrived", at: at(n) })),
    ],
  };
};

const cases: readonly {
  guarantee: RegExp;
  /** A history close to the bound that does not violate the guarantee. */
  satisfying: Partial<History>;
  /** Histories that violate it. */
  violating: readonly Partial<History>[];
}[] = [
  {
    guarantee: /own complete response/,
    satisfying: { calls: [call({}), call({ tag: "k.1", resendOf: "k", bodyTag: "k" })] },
    violating: [
      { calls: [call({ bodyTag: "booking-2" })] },
      { calls: [call({ isWhole: false })] },
      { calls: [call({ bodyTag: undefined })] },
    ],
  },
  {
    guarantee: /without end/,
    satisfying: {
      calls: [
        call({}),
        call({ service: "desk", status: 0, verdict: "left" }),
        call({ sentAt: 30_000, endedAt: 34_000, status: 0, verdict: "left" }),
      ],
      disturbances: [{ on: "bookings-0", kind: "target-endless", from: 9000, until: 20_000 }],
    },
    violating: [
      {
        calls: [call({ status: 0, verdict: "left" })],
        disturbances: [{ on: "bookings-0", kind: "target-endless", from: 9000, until: 20_000 }],
      },
    ],
  },
  {
    guarantee: /reads slowly/,
    satisfying: {
      slowReads: [
        { via: "desk-0", from: 0, until: 9000, status: 200, isWhole: true },
        { via: "desk-0", from: 0, until: 9000, status: 503, isWhole: false },
        { via: "desk-0", from: 0, until: 9000, status: 200, isWhole: false },
      ],
      disturbances: [{ on: "ledger-1", kind: "kill", from: 8000, until: 10_000 }],
    },
    violating: [
      {
        slowReads: [{ via: "desk-0", from: 0, until: 9000, status: 200, isWhole: false }],
        disturbances: [
          { on: "bookings-0", kind: "kill", from: 8000, until: 10_000 },
          { on: "desk-0", kind: "target-gray", from: 8000, until: 10_000 },
        ],
      },
    ],
  },
  {
    guarantee: /ends its targets/,
    satisfying: { targets: crashed([1000, 1500, 2000, 4900, 5100, 9000, 12_000]) },
    violating: [{ targets: crashed([1000, 1500, 2000, 5100, 6000, 9000, 12_000]) }],
  },
  {
    guarantee: /verdict "not-run"/,
    satisfying: {
      calls: [
        call({ status: 503, verdict: "not-run" }),
        call({ tag: "b", status: 502, verdict: "may-have-run" }),
      ],
      targets: [targetRecord({ event: "shed" }), targetRecord({ tag: "b" })],
    },
    violating: [
      { calls: [call({ status: 503, verdict: "not-run" })], targets: [targetRecord({})] },
    ],
  },
  {
    guarantee: /at most once/,
    satisfying: {
      calls: [call({}), call({ tag: "check-1", kind: CallKind.Check })],
      targets: [targetRecord({}), ...many(2, () => targetRecord({ tag: "check-1" }))],
    },
    violating: [
      { calls: [call({})], targets: many(2, (n) => targetRecord({ target: `bookings-${n}` })) },
      {
        calls: [call({ tag: "k" }), call({ tag: "k.1", resendOf: "k" })],
        targets: [targetRecord({ tag: "k" }), targetRecord({ tag: "k.1" })],
      },
    ],
  },
  {
    guarantee: /retry budget/,
    satisfying: {
      calls: many(10, (n) => call({ tag: `c${n}` })),
      targets: many(5, () => targetRecord({ tag: "c0", event: "arrived" })),
    },
    violating: [
      {
        calls: many(10, (n) => call({ tag: `c${n}` })),
        targets: many(6, () => targetRecord({ tag: "c0", event: "arrived" })),
      },
      {
        // A check is sent twice, and its second run makes three nested calls.
        calls: [],
        targets: [
          ...many(2, () => targetRecord({ service: "desk", tag: "p", event: "arrived" })),
          ...many(3, (n) => targetRecord({ service: "ledger", tag: `p~${n}`, event: "arrived" })),
        ],
      },
    ],
  },
  {
    guarantee: /healthy targets stay in use/,
    satisfying: {
      calls: quarterRefused,
      targets: withTargetsInUse(7),
    },
    violating: [
      {
        calls: quarterRefused,
        targets: withTargetsInUse(6),
      },
    ],
  },
  {
    guarantee: /draining target/,
    satisfying: {
      drains: [{ target: "bookings-0", at: 10_000 }],
      targets: [targetRecord({ event: "arrived", at: 11_900 })],
    },
    violating: [
      {
        drains: [{ target: "bookings-0", at: 10_000 }],
        targets: [targetRecord({ event: "arrived", at: 12_100 })],
      },
    ],
  },
  {
    guarantee: /target leaves/,
    satisfying: {
      leavings: [{ target: "bookings-0", at: 9000 }],
      calls: [call({}), call({ tag: "b", sentAt: 12_000 }), call({ tag: "c", sentAt: 12_200 })],
      targets: [
        targetRecord({}),
        targetRecord({ tag: "b", event: "arrived", at: 12_500 }),
        targetRecord({ tag: "c", event: "arrived", at: 12_500, target: "bookings-1" }),
      ],
    },
    violating: [
      {
        leavings: [{ target: "bookings-0", at: 9000 }],
        calls: [call({}), call({ tag: "b", sentAt: 12_200 })],
        targets: [targetRecord({}), targetRecord({ tag: "b", event: "arrived", at: 12_300 })],
      },
    ],
  },
  {
    guarantee: /limit that it names/,
    satisfying: limited(17, 3800),
    violating: [limited(18, 3800), limited(18, 100)],
  },
  {
    guarantee: /taken away/,
    satisfying: {
      configs: [accepted(1, 1, 1000), accepted(2, 2, 5000)],
      accounts: [account(1, 9900, 200), account(1, 10_100, 401)],
      targets: [targetRecord({ tag: "account-9900" })],
    },
    violating: [
      {
        configs: [accepted(1, 1, 1000), accepted(2, 2, 5000)],
        accounts: [account(1, 10_100, 200)],
        targets: [targetRecord({ tag: "account-10100" })],
      },
    ],
  },
  {
    guarantee: /not denied/,
    satisfying: {
      configs: [accepted(1, 1, 1000), accepted(2, 2, 9000)],
      accounts: [account(1, 2900, 401), account(1, 9000, 401), account(2, 11_100, 200)],
    },
    violating: [{ configs: [accepted(1, 1, 1000)], accounts: [account(1, 3100, 401)] }],
  },
  {
    guarantee: /its quota/,
    satisfying: hotRuns(108),
    violating: [hotRuns(109)],
  },
  {
    guarantee: /stop aborts/,
    satisfying: {
      stops: [stop],
      calls: [
        call({ status: 0, sentAt: 12_900, endedAt: 13_000, hadBegun: false }),
        call({ status: 0, sentAt: 9000, endedAt: 12_000, via: "desk-1" }),
      ],
    },
    violating: [
      { stops: [stop], calls: [call({ status: 0, sentAt: 12_000, endedAt: 13_000 })] },
      { stops: [stop], calls: [call({ status: 0, sentAt: 12_950, endedAt: 13_000 })] },
    ],
  },
  {
    guarantee: /breaks off no run/,
    satisfying: {
      stops: [stop],
      calls: [
        ...[
          // Not passed on, or refused by the target.
          { tag: "booking-2", status: 502, verdict: "may-have-run" },
          { tag: "booking-3", status: 503, verdict: "not-run" },
          // Responses of the target, in full.
          { status: 500 },
          // Its deadline has passed, or its caller has left.
          { sentAt: 4400, endedAt: 10_400, status: 504, verdict: "may-have-run" },
          { status: 0, verdict: "left" },
          // Sent to another sidecar, and after the stop.
          { via: "desk-1", status: 0, verdict: "" },
          { sentAt: 13_000, endedAt: 13_100, status: 0, verdict: "" },
        ].map(call),
        // Still at work 5 s after the SIGTERM.
        call({ tag: "booking-4", sentAt: 13_000, endedAt: 15_000, status: 502, verdict: "" }),
        call({ tag: "booking-5", sentAt: 11_000, endedAt: 12_000, status: 502, verdict: "" }),
        call({ tag: "booking-6", via: "desk-2", status: 502, verdict: "" }),
      ],
      targets: [
        targetRecord({ event: "arrived" }),
        targetRecord({ tag: "booking-3", event: "arrived" }),
        targetRecord({ tag: "booking-3", event: "shed" }),
        targetRecord({ tag: "booking-4", event: "arrived", at: 13_100 }),
        targetRecord({ tag: "booking-5", event: "arrived", target: "bookings-1" }),
        targetRecord({ tag: "booking-6", event: "arrived" }),
      ],
      disturbances: [
        { on: "bookings-1", kind: "target-gray", from: 11_000, until: 12_000 },
        { on: "desk-2", kind: "link-reset", from: 9000, until: 10_100 },
      ],
    },
    violating: [
      { status: 502, verdict: "may-have-run", endedAt: 12_000 },
      { status: 504, verdict: "may-have-run", sentAt: 9000 },
      { status: 0, verdict: "", hadBegun: false, sentAt: 12_950, endedAt: 13_000 },
      // Sent too late in the stop to be allowed to be at work until its last part.
      { status: 502, verdict: "may-have-run", sentAt: 13_100, endedAt: 15_100 },
    ].map((over) => ({
      stops: [{ ...stop, endedAt: 15_500 }],
      calls: [call(over)],
      targets: [targetRecord({ event: "arrived" })],
      disturbances: [
        { on: "desk-0", kind: "down", from: 12_999, until: 16_000 },
        { on: "bookings-0", kind: "link-reset", from: 9000, until: 10_100 },
      ],
    })),
  },
  {
    guarantee: /stop ends/,
    satisfying: { stops: [stop] },
    violating: [{ stops: [{ ...stop, endedAt: 18_000 }] }, { stops: [{ ...stop, code: 1 }] }],
  },
  {
    guarantee: /accepted document/,
    satisfying: {
      configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
      configLooks: [
        configSample(11_900, 2, false),
        configSample(12_100, 2, true),
        configSample(12_200, 1, false),
        configSample(13_000, 1, true, 2),
      ],
    },
    violating: [
      {
        configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
        configLooks: [configSample(12_100, 2, false)],
      },
      {
        configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000)],
        configLooks: [configSample(10_500, 2, true), configSample(11_000, 1, true)],
      },
    ],
  },
  {
    guarantee: /after a blackout/,
    satisfying: {
      configs: [accepted(1, 1, 1000), accepted(2, 2, 10_000), accepted(3, 3, 14_000)],
      blackouts: [{ at: 10_100, version: 2 }],
      configLooks: [
        configSample(9900, 2, false),
        configSample(12_000, 2, true),
        configSample(14_000, 2, false),
      ],
      movedLooks: [
        { at: 9900, via: "desk-0", service: "desk" },
        { at: 12_000, via: "desk-0", service: "ledger" },
        { at: 14_000, via: "desk-0", service: "bookings" },
      ],
    },
    violating: [
      afterBlackout({ configLooks: [configSample(10_200, 2, false)] }),
      afterBlackout({ configLooks: [configSample(10_200, 1, true)] }),
      afterBlackout({ movedLooks: [{ at: 10_200, via: "desk-0", service: "bookings" }] }),
    ],
  },
  {
    guarantee: /accepts new connections/,
    satisfying: {
      readyLooks: many(7, (n) => ({
        at: n * 500,
        via: "desk-0",
        isReady: true,
        isAnswered: n === 3,
      })),
    },
    violating: [
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
    satisfying: {
      calls: many(10, (n) => call({ sentAt: 29_000, status: n === 0 ? 503 : 200 })),
    },
    violating: [{ calls: many(10, (n) => call({ sentAt: 29_000, status: n < 2 ? 503 : 200 })) }],
  },
  {
    guarantee: /exceeds its VM/,
    satisfying: { uses: [{ at: 0, name: "desk-0", life: 1, rssMb: 350, descriptors: 90 }] },
    violating: [
      { uses: [{ at: 0, name: "desk-0", life: 1, rssMb: 351, descriptors: 90 }] },
      { uses: [{ at: 0, name: "desk-0", life: 1, rssMb: 90, descriptors: 2001 }] },
    ],
  },
];

const checks = allChecks(BUDGET, TIMEOUT_MS);

test("checks: every guarantee has a history that violates it", (t) => {
  const covered = checks.filter((c) => cases.some(({ guarantee }) => guarantee.test(c.guarantee)));
  t.is(covered.length, checks.length);
});

for (const { guarantee, satisfying, violating } of cases) {
  const check = checks.find((c) => guarantee.test(c.guarantee));
  test(`checks: "${check?.guarantee ?? ""}" fails for violating histories, not close to the bound`, (t) => {
    t.deepEqual(check?.run({ ...EMPTY, ...satisfying }).violations, []);
    for (const history of violating) {
      t.true((check?.run({ ...EMPTY, ...history }).violations.length ?? 0) > 0);
    }
  });
}
