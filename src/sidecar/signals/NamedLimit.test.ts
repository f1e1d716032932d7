import test from "ava";
import type { LimitSignal } from "./LimitSignal.ts";
import { NamedLimit } from "./NamedLimit.ts";

const NONE: LimitSignal = { kind: "none" };
const named = (perS: number): LimitSignal => ({ kind: "limit", perS });

/** Responses in the order of their arrival, a second apart; `sentAt` is when the request was sent, s. */
const cases: readonly {
  name: string;
  responses: readonly { sentAt: number; signal: LimitSignal }[];
  perS: number | undefined;
}[] = [
  { name: "there is none at first", responses: [], perS: undefined },
  {
    name: "a limit counts as soon as it is named",
    responses: [{ sentAt: 0, signal: named(2) }],
    perS: 2,
  },
  {
    name: "a response without it to a request sent before it was named does not end it",
    responses: [
      { sentAt: 0.5, signal: named(2) },
      { sentAt: 0, signal: NONE },
    ],
    perS: 2,
  },
  {
    name: "a response without it to a later request ends it",
    responses: [
      { sentAt: 0, signal: named(2) },
      { sentAt: 1.5, signal: NONE },
    ],
    perS: undefined,
  },
  {
    name: "a lower limit counts at once, a higher one only from a later request",
    responses: [
      { sentAt: 0.5, signal: named(2) },
      { sentAt: 0.4, signal: named(1) },
      { sentAt: 0.6, signal: named(3) },
    ],
    perS: 1,
  },
  {
    name: "an invalid value changes nothing",
    responses: [
      { sentAt: 0, signal: named(2) },
      { sentAt: 1.5, signal: { kind: "invalid", text: "many" } },
    ],
    perS: 2,
  },
];

for (const { name, responses, perS } of cases) {
  test(`named limit: ${name}`, (t) => {
    const limit = new NamedLimit();
    responses.forEach(({ sentAt, signal }, n) => {
      limit.record(signal, sentAt * 1000, (n + 1) * 1000);
    });
    t.is(limit.perS, perS);
  });
}
