import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { RunsHere } from "./RunsHere.ts";

test("runs here: those under way are counted, and those of them that repeat another", (t) => {
  const runs = new RunsHere(new FakeClock());
  const first = runs.begin(false);
  const second = runs.begin(true);
  t.deepEqual([runs.count, runs.repeats], [2, 1]);
  second.end();
  t.deepEqual([runs.count, runs.repeats], [1, 0]);
  first.end();
  t.is(runs.count, 0);
});

test("runs here: the share of the time without any", async (t) => {
  const clock = new FakeClock();
  const runs = new RunsHere(clock);
  await clock.advance(300);
  const begun = [runs.begin(false), runs.begin(false)];
  await clock.advance(500);
  begun.forEach((run) => {
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

/** When the run of the cases begins, ms. */
const RUN_STARTS_MS = 10;

for (const { name, callStartsMs, callEndsMs, runFailsMs, explains } of losses) {
  test(`runs here: a lost call that ${name} ${explains ? "explains" : "does not explain"} a failed run`, async (t) => {
    const clock = new FakeClock();
    const runs = new RunsHere(clock);
    let end: (wasServed: boolean) => void = () => undefined;
    clock.after(callStartsMs, () => {
      end = runs.beginCall("r");
    });
    clock.after(callEndsMs, () => {
      end(false);
    });
    await clock.advance(RUN_STARTS_MS);
    const run = runs.begin(false);
    await clock.advance(runFailsMs - RUN_STARTS_MS);
    const call = { route: "r", startedAt: callStartsMs, endedAt: callEndsMs };
    t.deepEqual(run.takeLostCall(), explains ? call : undefined);
    t.is(run.takeLostCall(), undefined, "it explains one run");
  });
}

test("runs here: a run may be waiting for a call that was made since it began, until that has ended", async (t) => {
  const clock = new FakeClock();
  const runs = new RunsHere(clock);
  await clock.advance(100);
  const end = runs.beginCall("r");
  t.true(runs.hasOpenCall(50));
  t.false(runs.hasOpenCall(150));
  end(true);
  t.false(runs.hasOpenCall(50));
  t.is(runs.begin(false).takeLostCall(), undefined, "a call that was served explains nothing");
});
