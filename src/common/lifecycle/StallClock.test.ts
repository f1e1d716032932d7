import test from "ava";
import { StallClock } from "./StallClock.ts";

test("StallClock: a stall is counted, also before the late tick fires", (t) => {
  // Guards against blaming the targets for a stall of the sidecar: after a garbage collection
  // of 200 ms, every response read appears 200 ms slower, at all targets at the same time.
  const clock = { now: 0 };
  const stalls = new StallClock(() => clock.now, { tickMs: 10, jitterMs: 5 });
  for (const step of [10, 11, 12]) {
    clock.now += step;
    stalls.tick();
  }
  t.is(stalls.totalMs, 0, "jitter does not count as a stall");
  clock.now += 210;
  t.is(stalls.totalMs, 200);
  stalls.tick();
  t.is(stalls.totalMs, 200);
});
