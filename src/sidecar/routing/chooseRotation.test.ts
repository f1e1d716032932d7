import test from "ava";
import fc from "fast-check";
import { TargetId } from "../../common/ids/TargetId.ts";
import { chooseRotation } from "./chooseRotation.ts";
import type { RotationCandidate } from "./RotationCandidate.ts";

const candidate = (
  id: string,
  risk: number,
  over: Partial<RotationCandidate> = {},
): RotationCandidate => ({
  id: TargetId(id),
  slots: 4,
  ready: true,
  isGray: risk >= 8,
  risk,
  ...over,
});

const cases: readonly {
  name: string;
  candidates: RotationCandidate[];
  floor: number;
  want: string[];
}[] = [
  { name: "no target is announced", candidates: [], floor: 0.5, want: [] },
  {
    name: "a gray target is ejected",
    candidates: [candidate("a", 0), candidate("b", 9), candidate("c", 1)],
    floor: 0.5,
    want: ["a", "c"],
  },
  {
    name: "the floor keeps the least bad gray target",
    candidates: [candidate("a", 20), candidate("b", 9), candidate("c", 15), candidate("d", 0)],
    floor: 0.5,
    want: ["b", "d"],
  },
  {
    name: "a draining target counts toward the announced slots but gets no requests",
    candidates: [candidate("a", 0, { ready: false }), candidate("b", 9), candidate("c", 0)],
    floor: 0.6,
    want: ["b", "c"],
  },
  {
    name: "the last target is never ejected, even with a floor of 0",
    candidates: [candidate("a", 9)],
    floor: 0,
    want: ["a"],
  },
];

for (const c of cases) {
  test(`chooseRotation: ${c.name}`, (t) => {
    t.deepEqual([...chooseRotation(c.candidates, c.floor)].sort(), c.want.map(TargetId));
  });
}

test("chooseRotation: ejection never reduces capacity below the floor, whatever the detector reports", (t) => {
  // Guards against ejecting all targets when an overload or a bad release makes
  // most of them look gray at once. The slots in rotation stay at the floor, or
  // at all ready slots if these are fewer, and no healthy target is ejected.
  const anyCandidates = fc.array(
    fc.record({
      slots: fc.integer({ min: 1, max: 8 }),
      ready: fc.boolean(),
      isGray: fc.boolean(),
      risk: fc.double({ min: 0, max: 100, noNaN: true }),
    }),
    { maxLength: 20 },
  );
  fc.assert(
    fc.property(anyCandidates, fc.double({ min: 0, max: 1, noNaN: true }), (raw, floor) => {
      const candidates = raw.map((r, i) => ({ ...r, id: TargetId(`t${i}`) }));
      const rotation = chooseRotation(candidates, floor);
      const slots = (list: typeof candidates) => list.reduce((sum, c) => sum + c.slots, 0);
      const ready = slots(candidates.filter((c) => c.ready));
      const remaining = slots(candidates.filter((c) => rotation.has(c.id)));
      const ejectedHealthy = candidates.filter((c) => c.ready && !c.isGray && !rotation.has(c.id));
      return remaining >= Math.min(ready, floor * slots(candidates)) && ejectedHealthy.length === 0;
    }),
    { numRuns: 2000, seed: 7 },
  );
  t.pass();
});
