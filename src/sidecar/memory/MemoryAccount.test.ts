import test from "ava";
import { MemoryAccount } from "./MemoryAccount.ts";
import { MemoryHolder } from "./MemoryHolder.ts";

/** The measures that apply at each level, in the order in which memory is freed. */
const cases: readonly {
  heldBytes: number;
  limit?: number;
  refusesNew: boolean;
  refusesNested: boolean;
  mustStream: boolean;
}[] = [
  { heldBytes: 75, limit: 100, refusesNew: false, refusesNested: false, mustStream: false },
  { heldBytes: 76, limit: 100, refusesNew: true, refusesNested: false, mustStream: false },
  { heldBytes: 86, limit: 100, refusesNew: true, refusesNested: true, mustStream: false },
  { heldBytes: 91, limit: 100, refusesNew: true, refusesNested: true, mustStream: true },
  { heldBytes: 1e12, refusesNew: false, refusesNested: false, mustStream: false },
];

for (const { heldBytes, limit, ...expected } of cases) {
  test(`memory account: ${heldBytes} bytes of ${limit ?? "any number"}`, (t) => {
    const changes: boolean[] = [];
    const memory = new MemoryAccount({
      maxHeldBytes: () => limit,
      onChange: (isRefusing) => changes.push(isRefusing),
    });
    const hold = memory.hold(MemoryHolder.SlowCallers, heldBytes);
    const { mustStream } = memory;
    const refusesNew = memory.refuses({ isNestedCall: false });
    const refusesNested = memory.refuses({ isNestedCall: true });
    t.deepEqual({ refusesNew, refusesNested, mustStream }, expected);
    hold.release();
    hold.release();
    hold.add(50);
    // Guards against a hold that is released twice, or used after it, and would leave the account wrong for good.
    t.is(memory.heldBytes[MemoryHolder.SlowCallers], 0);
    t.deepEqual(changes, expected.refusesNew ? [true, false] : []);
  });
}

test("memory account: retained responses are dropped last, and never cause a refusal alone", (t) => {
  const memory = new MemoryAccount({ maxHeldBytes: () => 100 });
  const retained = memory.hold(MemoryHolder.Retained);
  memory.onFull(() => {
    while (memory.mustDropRetained) {
      retained.add(-10);
    }
  });
  retained.add(40);
  t.is(memory.heldBytes[MemoryHolder.Retained], 20);
  const others = memory.hold(MemoryHolder.SlowCallers, 75);
  t.true(memory.refuses({ isNestedCall: false }));
  t.is(memory.heldBytes[MemoryHolder.Retained], 20);
  others.add(20);
  t.is(memory.heldBytes[MemoryHolder.Retained], 0);
});
