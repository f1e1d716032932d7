import test from "ava";
import { seededRandom } from "../test/fixtures/seededRandom.ts";
import { scenarios } from "./scenarios.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";

/** Length of the simulated load, ms: a third of the scenario, to keep the test short. */
const LENGTH_MS = 10_000;

test("experiment, fair shares: a workspace at 7.5 times its usual rate costs the others little", async (t) => {
  // Without fair sharing, the others' orders get 0.784 of their credit.
  const scenario = scenarios.find((s) => s.name === "competing large");
  if (!scenario) {
    t.fail("no such scenario");
    return;
  }
  const variant = { name: "fair shares", sharesSlotTime: true };
  const fleet = new SimFleet(
    { ...scenario, lengthMs: LENGTH_MS },
    variant,
    new SimClock(),
    seededRandom(1),
  );
  await fleet.run();
  const { order = 0 } = fleet.tally.figures().byKind;
  t.log(order);
  t.true(order > 0.9);
});
