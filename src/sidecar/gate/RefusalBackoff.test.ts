import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { RefusalBackoff } from "./RefusalBackoff.ts";

/** Sends a request to the target as soon as one is allowed; it is refused 1 ms later. */
async function refuseNext(backoff: RefusalBackoff, clock: FakeClock): Promise<void> {
  await clock.advance(backoff.waitMs);
  backoff.recordGrant();
  backoff.recordStart();
  await clock.advance(1);
  backoff.recordRefusal();
}

const cases: readonly { refusals: number; thenMs: number; waitMs: number; name: string }[] = [
  { name: "none after a single refusal", refusals: 1, thenMs: 0, waitMs: 0 },
  { name: "short after two in a row", refusals: 2, thenMs: 0, waitMs: 10 },
  { name: "doubled by each further one", refusals: 5, thenMs: 0, waitMs: 80 },
  { name: "over when the time has passed", refusals: 5, thenMs: 80, waitMs: 0 },
  { name: "bounded", refusals: 12, thenMs: 0, waitMs: 500 },
];

for (const { name, refusals, thenMs, waitMs } of cases) {
  test(`refusal backoff: the wait is ${name}`, async (t) => {
    const clock = new FakeClock();
    const backoff = new RefusalBackoff(clock);
    for (let n = 0; n < refusals; n++) {
      await refuseNext(backoff, clock);
    }
    await clock.advance(thenMs);
    t.is(backoff.waitMs, waitMs);
  });
}

test("refusal backoff: one request at a time is tried, until one has not been refused for 50 ms", async (t) => {
  const clock = new FakeClock();
  const backoff = new RefusalBackoff(clock);
  for (let n = 0; n < 4; n++) {
    await refuseNext(backoff, clock);
  }
  await clock.advance(40);
  backoff.recordGrant();
  t.is(backoff.waitMs, 40);
  backoff.recordStart();
  await clock.advance(45);
  backoff.recordGrant();
  t.is(backoff.waitMs, 40);
  await clock.advance(5);
  t.is(backoff.waitMs, 0);
});

test("refusal backoff: ends when a request is accepted", async (t) => {
  const clock = new FakeClock();
  const backoff = new RefusalBackoff(clock);
  await refuseNext(backoff, clock);
  await refuseNext(backoff, clock);
  t.is(backoff.waitMs, 10);
  backoff.recordAccepted();
  t.is(backoff.waitMs, 0);
});
