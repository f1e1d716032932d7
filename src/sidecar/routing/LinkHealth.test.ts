import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { LinkHealth } from "./LinkHealth.ts";

test("link: the suspect period doubles with each further missing reply, up to a limit", async (t) => {
  const clock = new FakeClock();
  const link = new LinkHealth(clock);
  const periods: number[] = [];
  for (let i = 0; i < 6; i++) {
    link.recordMissingReply();
    const since = clock.now();
    while (link.isSuspect) {
      await clock.advance(100);
    }
    periods.push(clock.now() - since);
  }
  t.deepEqual(periods, [400, 800, 1600, 3200, 3200, 3200]);
});

test("link: concurrent requests without a reply extend the suspect period only once", async (t) => {
  const clock = new FakeClock();
  const link = new LinkHealth(clock);
  link.recordMissingReply();
  link.recordMissingReply();
  link.recordMissingReply();
  await clock.advance(400);
  t.false(link.isSuspect);
});

test("link: a reply clears the suspicion and resets the suspect period to its initial length", async (t) => {
  const clock = new FakeClock();
  const link = new LinkHealth(clock);
  link.recordMissingReply();
  await clock.advance(400);
  link.recordMissingReply();
  link.recordReply(3);
  t.false(link.isSuspect);
  link.recordMissingReply();
  await clock.advance(400);
  t.false(link.isSuspect);
  t.true(link.replyMs > 0 && link.replyMs < 3);
});
