import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { makeRoute } from "../../../test/fixtures/makeRoute.ts";
import { makeService } from "../../../test/fixtures/makeService.ts";
import { RetryBudgets } from "./RetryBudgets.ts";

const RULE = { ratio: 0.2, windowMs: 10_000, slack: 0 };

const route = (name: string, budgetRatio?: number) =>
  makeRoute({ service: makeService({ name }), budgetRatio });

const checks = route("desk");
const bookings = route("bookings");

/** Budgets of a sidecar that has recorded the given numbers of first tries for the desk and for bookings. */
function rig(checkTries: number, bookingTries: number, reservedForCalls = 0) {
  const budgets = new RetryBudgets({
    rule: () => ({ ...RULE, reservedForCalls }),
    members: () => 8,
    clock: new FakeClock(),
    startedAt: 0,
    random: () => 0,
  });
  for (let n = 0; n < checkTries; n++) {
    budgets.onFirstTry(checks);
  }
  for (let n = 0; n < bookingTries; n++) {
    budgets.onFirstTry(bookings);
  }
  return budgets;
}

/** Spends the budget on retries of one route; returns their number. */
const spendAll = (budgets: RetryBudgets, on: ReturnType<typeof route>) => {
  let retries = 0;
  while (budgets.tryRetry(on)) {
    retries += 1;
  }
  return retries;
};

const cases: readonly {
  name: string;
  calls: readonly (readonly [service: string, mean: number])[];
  bookingTries: number;
  checkRetries: number;
  bookingRetries: number;
}[] = [
  { name: "no nested calls", calls: [], bookingTries: 100, checkRetries: 17, bookingRetries: 17 },
  {
    name: "nested calls that use part of the bookings' budget",
    calls: [["bookings", 0.5]],
    bookingTries: 100,
    checkRetries: 17,
    bookingRetries: 8,
  },
  {
    name: "nested calls that exhaust the bookings' budget",
    calls: [["bookings", 1.5]],
    bookingTries: 100,
    checkRetries: 11,
    bookingRetries: 0,
  },
  {
    name: "nested calls to a service without first tries at this sidecar",
    calls: [["bookings", 1.5]],
    bookingTries: 0,
    checkRetries: 0,
    bookingRetries: 0,
  },
];

for (const { name, calls, bookingTries, checkRetries, bookingRetries } of cases) {
  test(`budgets: retried checks with ${name}`, (t) => {
    // The desk's targets fail and the booking service's targets refuse requests. Guards against exceeding the budget of
    // the booking service: a retried check repeats its nested calls to it, on top of that service's own retries.
    const budgets = rig(100, bookingTries);
    budgets.recordNestedCalls(checks, new Map(calls));
    t.is(spendAll(budgets, checks), checkRetries);
    t.is(spendAll(budgets, bookings), bookingRetries);
  });
}

test("budgets: callers' retries leave the reserved part to the nested calls of runs", (t) => {
  // Targets of the called service refuse most of what they are sent. Guards against runs that fail with their nested
  // call, because callers, who can return, have used up the retries.
  const budgets = rig(0, 100, 0.5);
  budgets.recordNestedCalls(checks, new Map([["bookings", 1]]));
  t.is(spendAll(budgets, bookings), 8);
  t.false(budgets.lend([{ service: "bookings", n: 1 }]));
  t.true(budgets.lend([{ service: "bookings", n: 1 }], true));
  let calls = 0;
  while (budgets.tryRetry(bookings, true)) {
    calls += 1;
  }
  t.is(calls, 8);
});

test("budgets: a service's configured ratio also limits nested calls to it", (t) => {
  const budgets = rig(100, 0);
  budgets.recordNestedCalls(checks, new Map([["ledger", 1]]));
  t.false(budgets.tryRetry(checks), "the ledger has no first tries yet");
  const ledger = route("ledger", 0.1);
  for (let n = 0; n < 100; n++) {
    budgets.onFirstTry(ledger);
  }
  t.is(spendAll(budgets, ledger), 8);
});

test("budgets: the mean of nested calls follows the most recent reports", (t) => {
  const budgets = rig(100, 100);
  budgets.recordNestedCalls(checks, new Map([["bookings", 2]]));
  for (let n = 0; n < 30; n++) {
    budgets.recordNestedCalls(checks, new Map());
  }
  t.is(spendAll(budgets, checks), 17);
});

test("budgets: a ratio that is removed from the document is no longer in force", (t) => {
  const budgets = rig(0, 0);
  for (let n = 0; n < 99; n++) {
    budgets.onFirstTry(route("ledger", 0));
  }
  t.is(spendAll(budgets, route("ledger")), 0);
  budgets.onFirstTry(route("ledger"));
  t.is(spendAll(budgets, route("ledger")), 17);
});

test("budgets: nested calls that are no longer made do not prevent retries", (t) => {
  // The bookings' budget is used up, and checks have stopped to call that service.
  const budgets = rig(100, 0);
  budgets.recordNestedCalls(checks, new Map([["bookings", 2]]));
  for (let n = 0; n < 30; n++) {
    budgets.recordNestedCalls(checks, new Map());
  }
  t.is(spendAll(budgets, checks), 17);
});

// Lookups are slow because targets fail: hedges must not use the retries that the failures need.
for (const { reserved, calls, hedges, retries } of [
  { reserved: 0, calls: 0, hedges: 8, retries: 9 },
  { reserved: 0.5, calls: 0.5, hedges: 8, retries: 9 },
  { reserved: 0.5, calls: 2, hedges: 2, retries: 6 },
]) {
  test(`retry budgets: hedges leave half to retries, with ${calls} nested calls and ${reserved} reserved for them`, (t) => {
    const budgets = rig(100, 100, reserved);
    if (calls > 0) {
      budgets.recordNestedCalls(checks, new Map([["bookings", calls]]));
    }
    let sent = 0;
    while (budgets.tryHedge(checks)) {
      sent += 1;
    }
    t.deepEqual([sent, spendAll(budgets, checks)], [hedges, retries]);
  });
}
