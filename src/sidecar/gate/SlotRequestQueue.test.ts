import test from "ava";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { SlotRequestQueue } from "./SlotRequestQueue.ts";

/** Waiting asks as (name, priority, time asked, objective left then), ms, and whether a target's call. */
type Row = readonly [
  name: string,
  priority: number,
  askedAt: number,
  objectiveMs: number,
  isCall?: boolean,
];

const cases: readonly {
  name: string;
  now: number;
  serviceMs: number;
  rows: readonly Row[];
  order: string;
}[] = [
  {
    name: "of those due at the same time the most urgent priority goes first, and behind it the oldest due",
    now: 100,
    serviceMs: 50,
    rows: [
      ["a", 2, 0, 100],
      ["b", 1, 90, 5000],
      ["c", 2, 10, 100],
    ],
    order: "bac",
  },
  {
    // Strict priority let bookings keep the calls out that other targets make in their work.
    name: "a call that is due long before more urgent work goes first",
    now: 100,
    serviceMs: 50,
    rows: [
      ["booking", 1, 0, 1500],
      ["call", 2, 90, 400],
      ["lookup", 2, 0, 1500],
    ],
    order: "callbookinglookup",
  },
  {
    // A sign-off had its target's slot for a second, and failed for want of a call that stood behind downloads.
    name: "a call that a target makes in the midst of a run goes before callers' own, also when it is late",
    now: 1000,
    serviceMs: 50,
    rows: [
      ["a", 0, 0, 1200],
      ["b", 2, 900, 400, true],
      ["c", 2, 0, 300, true],
      ["d", 0, 0, 300],
    ],
    order: "bcad",
  },
  {
    name: "a rank of priority is a head start of 100 ms",
    now: 0,
    serviceMs: 50,
    rows: [
      ["a", 2, 0, 899],
      ["b", 1, 0, 1000],
      ["c", 2, 0, 901],
    ],
    order: "abc",
  },
  {
    name: "of those that are late the most urgent priority goes first, if it came within half a second of the others",
    now: 400,
    serviceMs: 50,
    rows: [
      ["a", 2, 10, 300],
      ["b", 1, 90, 300],
      ["c", 2, 0, 300],
    ],
    order: "bca",
  },
  {
    // With priority alone, nothing of the lower ranks was served late for as long as an overload lasted.
    name: "of those that are late one that has waited for more than half a second longer goes before a more urgent one",
    now: 2000,
    serviceMs: 50,
    rows: [
      ["a", 1, 1200, 300],
      ["b", 2, 100, 300],
      ["c", 2, 1300, 300],
    ],
    order: "bac",
  },
  {
    name: "within a priority the nearest objective goes first",
    now: 10,
    serviceMs: 50,
    rows: [
      ["a", 1, 0, 900],
      ["b", 1, 5, 300],
      ["c", 1, 9, 600],
    ],
    order: "bca",
  },
  {
    name: "what is late anyway goes last, oldest first",
    now: 400,
    serviceMs: 50,
    rows: [
      ["a", 1, 20, 300],
      ["b", 1, 10, 300],
      ["c", 1, 100, 900],
    ],
    order: "cba",
  },
  {
    name: "what could only just be on time counts as on time",
    now: 250,
    serviceMs: 50,
    rows: [
      ["a", 1, 0, 299],
      ["b", 1, 0, 300],
    ],
    order: "ba",
  },
];

for (const { name, now, serviceMs, rows, order } of cases) {
  test(`ask queue: ${name}`, (t) => {
    const queue = new SlotRequestQueue();
    for (const [attempt, priority, askedAt, objectiveMs, isCall = false] of rows) {
      const request = makeSlotRequest({ attempt, priority, objectiveMs, isCall, typicalMs: 0 });
      queue.add({ request, askedAt });
    }
    const taken = rows.map(() => queue.take(now, serviceMs)?.request.attempt);
    t.is(taken.join(""), order);
    t.is(queue.take(now, serviceMs), undefined);
  });
}

test("ask queue: the place of a newcomer is where it will be taken from", (t) => {
  const queue = new SlotRequestQueue();
  queue.add({
    request: makeSlotRequest({ attempt: "a", priority: 1, objectiveMs: 500 }),
    askedAt: 0,
  });
  queue.add({
    request: makeSlotRequest({ attempt: "b", priority: 2, objectiveMs: 1100 }),
    askedAt: 0,
  });
  const ahead = (over: Parameters<typeof makeSlotRequest>[0]) =>
    queue.ahead({ request: makeSlotRequest(over), askedAt: 0 }, 0, 50).length;
  t.is(ahead({ priority: 0 }), 0);
  t.is(ahead({ priority: 1, objectiveMs: 900 }), 1);
  t.is(ahead({ priority: 3, objectiveMs: 1000 }), 2);
});

test("ask queue: whether one is late goes by what its own kind takes", (t) => {
  const queue = new SlotRequestQueue();
  const row = (attempt: string, typicalMs: number) =>
    ({ request: makeSlotRequest({ attempt, objectiveMs: 300, typicalMs }), askedAt: 0 }) as const;
  queue.add(row("long", 200));
  queue.add(row("short", 20));
  t.is(queue.take(150, 100)?.request.attempt, AttemptId("short"));
});

test("ask queue: one that was taken back is not given a turn", (t) => {
  const queue = new SlotRequestQueue();
  const waiting = { request: makeSlotRequest(), askedAt: 0 };
  queue.add(waiting);
  t.true(queue.remove(waiting));
  t.false(queue.remove(waiting));
  t.is(queue.take(0, 50), undefined);
});
