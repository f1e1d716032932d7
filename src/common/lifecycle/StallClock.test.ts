import test from "ava";
import { StallClock } from "./StallClock.ts";

test("StallClock: time the process stood still is booked, also before the late tick fires", (t) => {
  // Story: a 200 ms garbage collection in the sidecar. Every answer read after
  // it looks 200 ms slower, at every target at once; that is not their fault.
  const clock = { now: 0 };
  const stalls = new StallClock(() => clock.now);
  for (const step of [10, 11, 12]) {
    clock.now += step;
    stalls.tick();
  }
  t.is(stalls.totalMs, 0, "jitter is no stall");
  clock.now += 210;
  t.is(stalls.totalMs, 200);
  stalls.tick();
  t.is(stalls.totalMs, 200);
});
