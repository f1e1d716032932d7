import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { TargetId } from "../../common/ids/TargetId.ts";
import { TargetNotices } from "./TargetNotices.ts";
import type { TargetSignals } from "./TargetSignals.ts";

const id = TargetId("a");
const ref = (born = 1, resumed = 0) => ({ id, born, resumed });

const leaving: TargetSignals = { limit: { kind: "none" }, isLeaving: true };
const limited: TargetSignals = { limit: { kind: "limit", perS: 2 }, isLeaving: false };

const cases: readonly {
  name: string;
  said: TargetSignals;
  /** The target as known when it says so, and later. */
  then: ReturnType<typeof ref> | undefined;
  now: ReturnType<typeof ref>;
  isLeaving: boolean;
  perS: number | undefined;
}[] = [
  { name: "leaving", said: leaving, then: ref(), now: ref(), isLeaving: true, perS: undefined },
  { name: "a limit", said: limited, then: ref(), now: ref(), isLeaving: false, perS: 2 },
  {
    name: "nothing of its next incarnation",
    said: { ...limited, isLeaving: true },
    then: ref(1),
    now: ref(2),
    isLeaving: false,
    perS: undefined,
  },
  {
    name: "leaving, of a target that was out of sight",
    said: leaving,
    then: undefined,
    now: ref(3),
    isLeaving: true,
    perS: undefined,
  },
  {
    name: "not leaving once it has returned to service",
    said: leaving,
    then: ref(1, 0),
    now: ref(1, 5),
    isLeaving: false,
    perS: undefined,
  },
  {
    name: "leaving, if it said so after its last return",
    said: leaving,
    then: ref(1, 5),
    now: ref(1, 5),
    isLeaving: true,
    perS: undefined,
  },
  {
    name: "leaving, if its sidecar has started again and knows nothing",
    said: leaving,
    then: ref(1, 5),
    now: ref(1, 0),
    isLeaving: true,
    perS: undefined,
  },
];

for (const { name, said, then, now, isLeaving, perS } of cases) {
  test(`target notices: ${name}`, (t) => {
    const notices = new TargetNotices(new FakeClock());
    notices.record(id, { target: () => then }, said, 0);
    t.is(notices.isLeaving(now), isLeaving);
    t.is(notices.limitOf(now), perS);
  });
}

test("target notices: the number of targets is bounded, and the newest are kept", (t) => {
  const notices = new TargetNotices(new FakeClock());
  for (let n = 0; n < 5000; n++) {
    notices.record(TargetId(`t${n}`), { target: () => undefined }, leaving, 0);
  }
  t.false(notices.isLeaving({ ...ref(), id: TargetId("t0") }));
  t.true(notices.isLeaving({ ...ref(), id: TargetId("t4999") }));
});
