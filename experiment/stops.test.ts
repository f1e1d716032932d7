import test from "ava";
import { seededRandom } from "../test/fixtures/seededRandom.ts";
import type { Scenario } from "./Scenario.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";

const SEEDS = [1, 2, 3];

/** Time from one stop to the next, ms: from nearly all at once to one after another. */
const INTERVALS_MS = [100, 800, 1550, 6000];

/** Share of its targets' capacity that the service uses while none is being stopped. */
const LOADS = [0.5, 0.9];

const TARGETS = 8;
const SLOTS = 4;

/** A booking's mean work time, and the time for which the fleet runs before the first stop, ms. */
const WORK_MS = 460;
const UP_MS = 30_000;

/** Bookings of which some take far longer than the others, while all sidecars are stopped in turn. */
const rollingStop = (intervalMs: number, load: number): Scenario => ({
  name: "bookings",
  services: [{ name: "bookings", targets: TARGETS, slots: SLOTS }],
  zones: 2,
  zoneLatencyMs: 0.5,
  kinds: [
    {
      name: "booking",
      service: "bookings",
      idempotent: false,
      priority: 1,
      perSecond: (load * TARGETS * SLOTS * 1000) / WORK_MS,
      workMs: WORK_MS,
      objectiveMs: 1500,
      deadlineMs: 8000,
      credit: [2, 0.6],
    },
  ],
  workTimes: { sigma: 0.8, maxFactor: 2700 / WORK_MS },
  stops: [{ fromMs: UP_MS, count: TARGETS, intervalMs }],
  lengthMs: UP_MS + TARGETS * intervalMs + 8000,
});

for (const intervalMs of INTERVALS_MS) {
  for (const load of LOADS) {
    test(`stops ${intervalMs} ms apart at a load of ${load}: no sidecar exits while its target runs a booking`, async (t) => {
      // Guards against a caller whose sidecar answers 502 for a booking that is still in progress at its target.
      t.timeout(120_000);
      const cut: string[] = [];
      const served: number[] = [];
      for (const seed of SEEDS) {
        const variant = { name: "product" };
        const scenario = rollingStop(intervalMs, load);
        const fleet = new SimFleet(scenario, variant, new SimClock(), seededRandom(seed));
        await fleet.run();
        cut.push(...fleet.cutRuns.map((run) => JSON.stringify({ seed, ...run })));
        served.push(fleet.tally.figures().served);
      }
      t.log({ cut: cut.length, served });
      t.deepEqual(cut, []);
    });
  }
}
