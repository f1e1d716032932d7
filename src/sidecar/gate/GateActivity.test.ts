import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { RefusalReason } from "../hop/RefusalReason.ts";
import { GateActivity } from "./GateActivity.ts";

/** Times at which a report is taken, ms, and the idle times that are expected to be reported. */
const cases: readonly { name: string; runAtMs: number; takenAtMs: number[]; reported: number[] }[] =
  [
    { name: "a busy target is not reported", runAtMs: 900, takenAtMs: [1000, 1800], reported: [] },
    {
      name: "a long idle period is reported at doubling intervals, not at every check",
      runAtMs: 0,
      takenAtMs: [500, 1000, 1500, 2000, 2500, 3000, 4000, 5000, 8000],
      reported: [1000, 2000, 4000, 8000],
    },
    {
      name: "a run starts a new period",
      runAtMs: 1500,
      takenAtMs: [2000, 2500, 3000],
      reported: [1000],
    },
  ];

for (const { name, runAtMs, takenAtMs, reported } of cases) {
  test(`gate activity: ${name}`, async (t) => {
    const clock = new FakeClock();
    const activity = new GateActivity(clock);
    clock.after(runAtMs, () => {
      activity.recordRun();
    });
    const idleTimes: number[] = [];
    for (const at of takenAtMs) {
      await clock.advance(at - clock.now());
      idleTimes.push(...[activity.takeReport()?.idleMs ?? []].flat());
    }
    t.deepEqual(idleTimes, reported);
  });
}

test("gate activity: a report has what the gate received and refused since the last run", async (t) => {
  const clock = new FakeClock();
  const activity = new GateActivity(clock);
  activity.recordRequest();
  activity.recordRun();
  for (const reason of [RefusalReason.Suspect, RefusalReason.Suspect, RefusalReason.Full]) {
    activity.recordRequest();
    activity.recordRefusal(reason);
  }
  await clock.advance(1200);
  const refusals = { suspect: 2, full: 1 };
  t.deepEqual(activity.takeReport(), { idleMs: 1200, requests: 3, refusals });
});
