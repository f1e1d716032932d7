import test from "ava";
import { AttemptId } from "../../common/ids/AttemptId.ts";
import { makeSlotRequest } from "../../../test/fixtures/makeSlotRequest.ts";
import { SlotRequestQueue } from "./SlotRequestQueue.ts";

/** A queued request; times in ms, the objective counted from when the request was received. */
type Row = readonly [
  name: string,
  priority: number,
  receivedAt: number,
  objectiveMs: number,
  isNestedCall?: boolean,
];

const cases: readonly {
  name: string;
  now: number;
  serviceMs: number;
  rows: readonly Row[];
  order: string;
}[] = [
  {
    name: "a request that is on time goes before late ones, which follow by age",
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
    // With strict priority, bookings starved the nested calls of other targets.
    name: "a nested call that is due long before requests of higher priority goes first",
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
    // A sign-off held a slot for a second, and failed because its nested call was queued behind downloads.
    name: "nested calls go before requests of callers, even when late",
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
    name: "each priority level is a head start of 100 ms",
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
    name: "a late request of higher priority goes before late ones received less than 500 ms earlier",
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
    // With strict priority, late requests of lower priority were never served while an overload lasted.
    name: "a late request goes before late ones of higher priority received more than 500 ms later",
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
    name: "within a priority the earliest due goes first",
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
    name: "late requests go last, oldest first",
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
    name: "a request that can only just meet its objective is not late",
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
  test(`slot request queue: ${name}`, (t) => {
    const queue = new SlotRequestQueue();
    for (const [attempt, priority, receivedAt, objectiveMs, isNestedCall = false] of rows) {
      const request = makeSlotRequest({
        attempt,
        priority,
        objectiveMs,
        isNestedCall,
        typicalMs: 0,
      });
      queue.add({ request, receivedAt });
    }
    const taken = rows.map(() => queue.dequeue(now, serviceMs)?.request.attempt);
    t.is(taken.join(""), order);
    t.is(queue.dequeue(now, serviceMs), undefined);
  });
}

test("slot request queue: requests ahead of a new one are those that will be served before it", (t) => {
  const queue = new SlotRequestQueue();
  queue.add({
    request: makeSlotRequest({ attempt: "a", priority: 1, objectiveMs: 500 }),
    receivedAt: 0,
  });
  queue.add({
    request: makeSlotRequest({ attempt: "b", priority: 2, objectiveMs: 1100 }),
    receivedAt: 0,
  });
  const ahead = (over: Parameters<typeof makeSlotRequest>[0]) =>
    queue.ahead({ request: makeSlotRequest(over), receivedAt: 0 }, 0, 50).length;
  t.is(ahead({ priority: 0 }), 0);
  t.is(ahead({ priority: 1, objectiveMs: 900 }), 1);
  t.is(ahead({ priority: 3, objectiveMs: 1000 }), 2);
});

test("slot request queue: lateness is judged by the typical time of the request, not by the mean of the target", (t) => {
  const queue = new SlotRequestQueue();
  const row = (attempt: string, typicalMs: number) =>
    ({
      request: makeSlotRequest({ attempt, objectiveMs: 300, typicalMs }),
      receivedAt: 0,
    }) as const;
  queue.add(row("long", 200));
  queue.add(row("short", 20));
  t.is(queue.dequeue(150, 100)?.request.attempt, AttemptId("short"));
});

test("slot request queue: a removed request is not served", (t) => {
  const queue = new SlotRequestQueue();
  const waiting = { request: makeSlotRequest(), receivedAt: 0 };
  queue.add(waiting);
  t.true(queue.remove(waiting));
  t.false(queue.remove(waiting));
  t.is(queue.dequeue(0, 50), undefined);
});
