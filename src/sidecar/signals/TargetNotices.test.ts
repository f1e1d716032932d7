import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { TargetNotices } from "./TargetNotices.ts";
import type { TargetSignals } from "./TargetSignals.ts";

const id = TargetId("a");
const ref = (born = 1) => ({ id, born });

const limited: TargetSignals = { limit: { kind: "limit", perS: 2 }, isLeaving: false };

const cases: readonly {
  name: string;
  said: TargetSignals;
  /** The target as known when it says so, and later. */
  then: ReturnType<typeof ref> | undefined;
  now: ReturnType<typeof ref>;
  perS: number | undefined;
}[] = [
  { name: "a limit", said: limited, then: ref(), now: ref(), perS: 2 },
  {
    name: "nothing of its next incarnation",
    said: limited,
    then: ref(1),
    now: ref(2),
    perS: undefined,
  },
];

for (const { name, said, then, now, perS } of cases) {
  test(`target notices: ${name}`, (t) => {
    const notices = new TargetNotices(new FakeClock());
    notices.record(id, { target: () => then }, said, 0);
    t.is(notices.limitOf(now), perS);
  });
}

test("target notices: the number of targets is bounded, and the newest are kept", (t) => {
  const notices = new TargetNotices(new FakeClock());
  for (let n = 0; n < 5000; n++) {
    notices.record(TargetId(`t${n}`), { target: () => undefined }, limited, 0);
  }
  t.is(notices.limitOf({ ...ref(), id: TargetId("t0") }), undefined);
  t.is(notices.limitOf({ ...ref(), id: TargetId("t4999") }), 2);
});
