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

/** Budgets of a sidecar that has seen so many callers' requests for the desk and for bookings. */
function rig(checksSeen: number, bookingsSeen: number) {
  const budgets = new RetryBudgets({
    rule: () => RULE,
    members: () => 8,
    clock: new FakeClock(),
    startedAt: 0,
    random: () => 0,
  });
  for (let n = 0; n < checksSeen; n++) {
    budgets.onFirstTry(checks);
  }
  for (let n = 0; n < bookingsSeen; n++) {
    budgets.onFirstTry(bookings);
  }
  return budgets;
}

const spendAll = (budgets: RetryBudgets, on: ReturnType<typeof route>) => {
  let extras = 0;
  while (budgets.tryRetry(on)) {
    extras += 1;
  }
  return extras;
};

const cases: readonly {
  name: string;
  calls: readonly (readonly [service: string, mean: number])[];
  bookingsSeen: number;
  checksAgain: number;
  bookingsAgain: number;
}[] = [
  { name: "no calls", calls: [], bookingsSeen: 100, checksAgain: 17, bookingsAgain: 17 },
  {
    name: "calls that take from what there is for bookings",
    calls: [["bookings", 0.5]],
    bookingsSeen: 100,
    checksAgain: 17,
    bookingsAgain: 8,
  },
  {
    name: "calls that there is no room for",
    calls: [["bookings", 1.5]],
    bookingsSeen: 100,
    checksAgain: 11,
    bookingsAgain: 0,
  },
  {
    name: "calls of a service that has no requests of its own here",
    calls: [["bookings", 1.5]],
    bookingsSeen: 0,
    checksAgain: 0,
    bookingsAgain: 0,
  },
];

for (const { name, calls, bookingsSeen, checksAgain, bookingsAgain } of cases) {
  test(`budgets: checks that are sent again, with ${name}`, (t) => {
    // Story: the desk's targets fail, and those of the booking service refuse. A check that is sent again makes its
    // calls to the booking service again, on top of that service's own repeats.
    const budgets = rig(100, bookingsSeen);
    budgets.noteCalls(checks, new Map(calls));
    t.is(spendAll(budgets, checks), checksAgain);
    t.is(spendAll(budgets, bookings), bookingsAgain);
  });
}

test("budgets: the ratio that the document gives a service holds for calls to it too", (t) => {
  const budgets = rig(100, 0);
  budgets.noteCalls(checks, new Map([["ledger", 1]]));
  t.false(budgets.tryRetry(checks), "nothing is known of the ledger yet");
  const ledger = route("ledger", 0.1);
  for (let n = 0; n < 100; n++) {
    budgets.onFirstTry(ledger);
  }
  t.is(spendAll(budgets, ledger), 8);
});

test("budgets: what runs call is told by the last few answers", (t) => {
  const budgets = rig(100, 100);
  budgets.noteCalls(checks, new Map([["bookings", 2]]));
  for (let n = 0; n < 30; n++) {
    budgets.noteCalls(checks, new Map());
  }
  t.is(spendAll(budgets, checks), 17);
});
