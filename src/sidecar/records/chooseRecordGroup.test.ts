import test from "ava";
import fc from "fast-check";
import { chooseRecordGroup } from "./chooseRecordGroup.ts";
import { claimQuorum } from "./claimQuorum.ts";

const pool = (count: number, zones: number) =>
  Array.from({ length: count }, (_, n) => ({ id: `s${n}`, zone: `zone-${n % zones}` }));

test("record group: at most two of five replicas are in the same of three zones", (t) => {
  for (let n = 0; n < 200; n++) {
    const group = chooseRecordGroup(`key-${n}`, pool(12, 3));
    t.is(group.length, 5);
    for (const zone of ["zone-0", "zone-1", "zone-2"]) {
      t.true(group.filter((m) => m.zone === zone).length <= 2);
    }
  }
});

test("record group: a new member replaces at most one replica, and quorums from both views intersect", (t) => {
  fc.assert(
    fc.property(
      fc.string(),
      fc.integer({ min: 1, max: 12 }),
      fc.integer({ min: 1, max: 4 }),
      (key, count, zones) => {
        const before = chooseRecordGroup(key, pool(count, zones)).map((m) => m.id);
        const after = chooseRecordGroup(key, pool(count + 1, zones)).map((m) => m.id);
        const lost = before.filter((id) => !after.includes(id)).length;
        const union = new Set([...before, ...after]).size;
        const intersect = claimQuorum(before.length) + claimQuorum(after.length) > union;
        return lost <= 1 && intersect;
      },
    ),
    { numRuns: 2000, seed: 3 },
  );
  t.pass();
});
