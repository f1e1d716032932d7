import test from "ava";
import { FakeClock } from "../../../test/fixtures/FakeClock.ts";
import { UnservedShares } from "./UnservedShares.ts";

test("unserved shares: only the service's recent requests count, so that the share falls with the failures", async (t) => {
  const clock = new FakeClock();
  const shares = new UnservedShares(clock);
  t.is(shares.of("bookings"), 0);
  for (const isServed of [true, false, true, true]) {
    shares.record("bookings", isServed);
  }
  shares.record("lookups", false);
  t.is(shares.of("bookings"), 0.25);
  await clock.advance(1500);
  shares.record("bookings", true);
  t.is(shares.of("bookings"), 0.2);
  await clock.advance(1500);
  t.is(shares.of("bookings"), 0);
});
