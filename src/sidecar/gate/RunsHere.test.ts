import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { RunsHere } from "./RunsHere.ts";

test("runs here: those under way are counted, and those of them that repeat another", (t) => {
  const runs = new RunsHere(new FakeClock());
  const endFirst = runs.begin(false);
  const endSecond = runs.begin(true);
  t.deepEqual([runs.count, runs.repeats], [2, 1]);
  endSecond();
  t.deepEqual([runs.count, runs.repeats], [1, 0]);
  endFirst();
  t.is(runs.count, 0);
});

test("runs here: the share of the time without any", async (t) => {
  const clock = new FakeClock();
  const runs = new RunsHere(clock);
  await clock.advance(300);
  const ends = [runs.begin(false), runs.begin(false)];
  await clock.advance(500);
  ends.forEach((end) => {
    end();
  });
  await clock.advance(200);
  t.is(runs.idleShare, 0.5);
});
