import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { LinkHealth } from "./LinkHealth.ts";

test("link: silence puts others first for a while, longer each time it is found silent again", async (t) => {
  const clock = new FakeClock();
  const link = new LinkHealth(clock);
  const pauses: number[] = [];
  for (let i = 0; i < 6; i++) {
    link.noteSilence();
    const since = clock.now();
    while (link.isSuspect) {
      await clock.advance(100);
    }
    pauses.push(clock.now() - since);
  }
  t.deepEqual(pauses, [400, 800, 1600, 3200, 3200, 3200]);
});

test("link: several requests that meet the same silence count once", async (t) => {
  const clock = new FakeClock();
  const link = new LinkHealth(clock);
  link.noteSilence();
  link.noteSilence();
  link.noteSilence();
  await clock.advance(400);
  t.false(link.isSuspect);
});

test("link: an answer clears it, and the next silence starts short again", async (t) => {
  const clock = new FakeClock();
  const link = new LinkHealth(clock);
  link.noteSilence();
  await clock.advance(400);
  link.noteSilence();
  link.noteAnswer(3);
  t.false(link.isSuspect);
  link.noteSilence();
  await clock.advance(400);
  t.false(link.isSuspect);
  t.true(link.answerMs > 0 && link.answerMs < 3);
});
