import test from "ava";
import { readTargetSignals } from "./readTargetSignals.ts";

const NAMES = { limit: "x-limit", leaving: "x-leaving" };

const none = { kind: "none" };
const limit = (perS: number) => ({ kind: "limit", perS });
const invalid = (text: string) => ({ kind: "invalid", text });

const limits: readonly { value: string | string[] | undefined; signal: object }[] = [
  { value: undefined, signal: none },
  { value: "2.1", signal: limit(2.1) },
  { value: "3", signal: limit(3) },
  { value: "0", signal: limit(0) },
  { value: "0.0001", signal: limit(0.0001) },
  { value: "99999999999", signal: limit(99_999_999_999) },
  { value: "4, 2", signal: limit(2) },
  { value: ["4", "2"], signal: limit(2) },
  { value: "4, many", signal: limit(4) },
  { value: "", signal: invalid("") },
  { value: "-2", signal: invalid("-2") },
  { value: "NaN", signal: invalid("NaN") },
  { value: "Infinity", signal: invalid("Infinity") },
  { value: "1e3", signal: invalid("1e3") },
  { value: "9".repeat(400), signal: invalid("9".repeat(32)) },
];

for (const { value, signal } of limits) {
  test(`target signals: limit ${String(value).slice(0, 20)}`, (t) => {
    const signals = readTargetSignals({ "x-limit": value }, NAMES);
    t.deepEqual(signals.limit as object, signal);
  });
}

for (const [value, isLeaving] of [
  ["1", true],
  ["0", false],
  [undefined, false],
] as const) {
  test(`target signals: leaving ${String(value)}`, (t) => {
    t.is(readTargetSignals({ "x-leaving": value }, NAMES).isLeaving, isLeaving);
  });
}
