import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { ActiveRuns } from "./ActiveRuns.ts";

const CALL = { route: "r", service: "svc", weight: 1 };

test("active runs: count covers runs that have begun and not ended", (t) => {
  const runs = new ActiveRuns(new FakeClock());
  const first = runs.begin();
  const second = runs.begin();
  t.is(runs.count, 2);
  second.end();
  t.is(runs.count, 1);
  first.end();
  t.is(runs.count, 0);
});

test("active runs: overlapping runs count once in the idle share", async (t) => {
  const clock = new FakeClock();
  const runs = new ActiveRuns(clock);
  await clock.advance(300);
  const overlapping = [runs.begin(), runs.begin()];
  await clock.advance(500);
  overlapping.forEach((run) => {
    run.end();
  });
  await clock.advance(200);
  t.is(runs.idleShare, 0.5);
});

const losses: readonly {
  name: string;
  callStartsMs: number;
  callEndsMs: number;
  runFailsMs: number;
  explains: boolean;
}[] = [
  { name: "ended just before", callStartsMs: 20, callEndsMs: 60, runFailsMs: 65, explains: true },
  { name: "ended long before", callStartsMs: 20, callEndsMs: 60, runFailsMs: 300, explains: false },
  {
    name: "was made before the run began",
    callStartsMs: 5,
    callEndsMs: 60,
    runFailsMs: 65,
    explains: false,
  },
];

/** When the run begins, ms. */
const RUN_STARTS_MS = 10;

for (const { name, callStartsMs, callEndsMs, runFailsMs, explains } of losses) {
  test(`active runs: a lost nested call that ${name} ${explains ? "explains" : "does not explain"} a failed run`, async (t) => {
    const clock = new FakeClock();
    const runs = new ActiveRuns(clock);
    let end: (wasServed: boolean) => void = () => undefined;
    clock.after(callStartsMs, () => {
      end = runs.beginCall(CALL);
    });
    clock.after(callEndsMs, () => {
      end(false);
    });
    await clock.advance(RUN_STARTS_MS);
    const run = runs.begin();
    await clock.advance(runFailsMs - RUN_STARTS_MS);
    const call = { route: "r", startedAt: callStartsMs, endedAt: callEndsMs };
    t.deepEqual(run.takeLostCall(), explains ? call : undefined);
    t.is(run.takeLostCall(), undefined, "a lost call explains one run only");
  });
}

test("active runs: a nested call is open for runs that began before it, until it ends", async (t) => {
  const clock = new FakeClock();
  const runs = new ActiveRuns(clock);
  await clock.advance(100);
  const end = runs.beginCall(CALL);
  t.true(runs.hasOpenNestedCall(50));
  t.false(runs.hasOpenNestedCall(150));
  end(true);
  t.false(runs.hasOpenNestedCall(50));
  t.is(runs.begin().takeLostCall(), undefined, "a served call does not explain a failure");
});

test("active runs: idle time before the window does not make a busy target look idle", async (t) => {
  const clock = new FakeClock();
  const runs = new ActiveRuns(clock);
  await clock.advance(60_000);
  t.is(runs.idleShare, 1);
  runs.begin();
  await clock.advance(5000);
  t.is(runs.idleShare, 0.5);
  await clock.advance(20_000);
  t.is(runs.idleShare, 0);
});

test("active runs: mean nested calls per run weigh each call by its probability", async (t) => {
  const clock = new FakeClock();
  const runs = new ActiveRuns(clock);
  const mean = () => runs.callMeans.get("svc") ?? 0;
  t.is(mean(), 0);
  for (let n = 0; n < 30; n++) {
    const run = runs.begin();
    runs.beginCall(CALL)(true);
    runs.beginCall({ ...CALL, weight: 0.5 })(true);
    await clock.advance(100);
    run.end();
  }
  t.true(Math.abs(mean() - 1.45) < 0.05, `${mean()}`);
});
