import test from "ava";
import { pickByCost } from "./pickByCost.ts";

/** A random source that returns the given values in turn. */
const sequence = (values: readonly number[]) => {
  let i = 0;
  return () => values[i++ % values.length] ?? 0;
};

const cases: readonly {
  name: string;
  costs: Record<string, number>;
  random: number[];
  want: string | undefined;
}[] = [
  { name: "no candidates", costs: {}, random: [0], want: undefined },
  { name: "a single candidate", costs: { a: 9 }, random: [0], want: "a" },
  {
    name: "the cheaper of two samples",
    costs: { a: 4, b: 1, c: 0 },
    random: [0, 0.5],
    want: "b",
  },
  { name: "the first sample on a tie", costs: { a: 3, b: 3 }, random: [0.9, 0], want: "b" },
];

for (const c of cases) {
  test(`pickByCost: ${c.name}`, (t) => {
    const got = pickByCost(Object.keys(c.costs), (k) => c.costs[k] ?? 0, sequence(c.random));
    t.is(got, c.want);
  });
}
