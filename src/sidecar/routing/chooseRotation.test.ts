import test from "ava";
import fc from "fast-check";
import { TargetId } from "../../common/ids/TargetId.ts";
import { chooseRotation } from "./chooseRotation.ts";
import type { RotationCandidate } from "./RotationCandidate.ts";

const candidate = (
  id: string,
  badness: number,
  over: Partial<RotationCandidate> = {},
): RotationCandidate => ({
  id: TargetId(id),
  slots: 4,
  ready: true,
  gray: badness >= 8,
  badness,
  ...over,
});

const cases: readonly {
  name: string;
  candidates: RotationCandidate[];
  floor: number;
  want: string[];
}[] = [
  { name: "nothing announced", candidates: [], floor: 0.5, want: [] },
  {
    name: "the gray one leaves",
    candidates: [candidate("a", 0), candidate("b", 9), candidate("c", 1)],
    floor: 0.5,
    want: ["a", "c"],
  },
  {
    name: "the floor keeps the least bad of the gray",
    candidates: [candidate("a", 20), candidate("b", 9), candidate("c", 15), candidate("d", 0)],
    floor: 0.5,
    want: ["b", "d"],
  },
  {
    name: "a draining target counts toward the floor's base but gets no work",
    candidates: [candidate("a", 0, { ready: false }), candidate("b", 9), candidate("c", 0)],
    floor: 0.6,
    want: ["b", "c"],
  },
  {
    name: "the last target is never ejected, even with no floor",
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

test("chooseRotation: ejection never takes capacity below the floor, whatever the detector says", (t) => {
  // Story: an overload or a bad release makes most targets of a service look
  // gray at once. Ejecting them all would leave its callers nothing. Whatever
  // the judgements, the slots in rotation stay at the floor, or at all that is
  // ready when even that is less.
  const anyCandidates = fc.array(
    fc.record({
      slots: fc.integer({ min: 1, max: 8 }),
      ready: fc.boolean(),
      gray: fc.boolean(),
      badness: fc.double({ min: 0, max: 100, noNaN: true }),
    }),
    { maxLength: 20 },
  );
  fc.assert(
    fc.property(anyCandidates, fc.double({ min: 0, max: 1, noNaN: true }), (raw, floor) => {
      const candidates = raw.map((r, i) => ({ ...r, id: TargetId(`t${i}`) }));
      const rotation = chooseRotation(candidates, floor);
      const slots = (list: typeof candidates) => list.reduce((sum, c) => sum + c.slots, 0);
      const ready = slots(candidates.filter((c) => c.ready));
      const left = slots(candidates.filter((c) => rotation.has(c.id)));
      const healthyOut = candidates.filter((c) => c.ready && !c.gray && !rotation.has(c.id));
      return left >= Math.min(ready, floor * slots(candidates)) && healthyOut.length === 0;
    }),
    { numRuns: 2000, seed: 7 },
  );
  t.pass();
});
