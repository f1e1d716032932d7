import test from "ava";
import { seededRandom } from "../test/fixtures/seededRandom.ts";
import type { RequestKind, Scenario } from "./Scenario.ts";
import { scenarios } from "./scenarios.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";

const SEEDS = [1, 2, 3];

/** Share of a service's sound targets that must go on getting work where too little of it is served. */
const FLOOR_SHARE = 0.7;

/** The floor counts in windows of this length, ms. */
const WINDOW_MS = 2000;

/** Too little is served where more than the first share of a service's requests is not, but under the second. */
const UNSERVED = { from: 0.1, to: 0.5 };

/** A target counts as sound once it has been well for this long before the window, ms. */
const HEALTHY_FOR_MS = 2000;

/** How often windows are looked at, ms. */
const STEP_MS = 500;

/** From this chance to fail on, a target gets nothing but what tells whether it is well again. */
const PROBES_ONLY_RISK = 0.75;

/** Requests that tell that, a second: one in 300 ms where requests wait for want of room, and some at once when one went well. */
const MAX_PROBES_PER_SECOND = 8;

const scenarioNamed = (name: string): Scenario => {
  const scenario = scenarios.find((s) => s.name === name);
  if (!scenario) {
    throw new Error(`no scenario ${name}`);
  }
  return scenario;
};

const scaleRates = (kinds: readonly RequestKind[], factor: number) =>
  kinds.map((k) => ({ ...k, perSecond: k.perSecond * factor }));

async function simulate(scenario: Scenario, seed: number): Promise<SimFleet> {
  const fleet = new SimFleet(scenario, { name: "product" }, new SimClock(), seededRandom(seed));
  await fleet.run();
  return fleet;
}

/** The share of sound targets in use, in the worst window in which too little of a service was served. */
function lowestShareInUse(fleet: SimFleet, { services, lengthMs }: Scenario) {
  let worst = { share: 1, service: "", fromMs: 0, healthy: 0, unserved: 0 };
  for (const { name: service } of services) {
    for (let fromMs = HEALTHY_FOR_MS; fromMs + WINDOW_MS <= lengthMs; fromMs += STEP_MS) {
      const untilMs = fromMs + WINDOW_MS;
      const unserved = fleet.tally.unservedShare(service, fromMs, untilMs);
      const healthy = fleet.healthyTargets(service, fromMs - HEALTHY_FOR_MS, untilMs);
      const reached = fleet.arrivals.targetsReached(service, fromMs, untilMs);
      const share = healthy.filter((t) => reached.has(t)).length / Math.max(1, healthy.length);
      if (unserved > UNSERVED.from && unserved < UNSERVED.to && share < worst.share) {
        worst = { share, service, fromMs, healthy: healthy.length, unserved };
      }
    }
  }
  return worst;
}

for (const seed of SEEDS) {
  test(`floor: sound targets go on working while their sidecars are stopped in turn (seed ${seed})`, async (t) => {
    // Story: in a rolling stop of a third of the fleet a tenth and more of the bookings was not served, while sound
    // targets got nothing for seconds. A sidecar that is stopped lives on for its callers, for 5 s and
    // more, but shut the way to its target with the signal. Cause: the shutdown closed first what is needed longest.
    const scenario = {
      ...scenarioNamed("lab stops"),
      lengthMs: 22_000,
      randomGray: undefined,
      kinds: scaleRates(scenarioNamed("lab stops").kinds, 1.35),
      stops: [{ fromMs: 6000, count: 24, intervalMs: 200 }],
    };
    const fleet = await simulate(scenario, seed);
    const worst = lowestShareInUse(fleet, scenario);
    t.log(worst);
    t.true(worst.share >= FLOOR_SHARE);
  });

  test(`detection: targets are not ejected for what their calls did (seed ${seed})`, async (t) => {
    // Story: two of three targets of the reports' service turned gray. Sign-offs, whose targets call it in the midst of their
    // work, failed when the call failed; their sidecars held that against their own targets, which had failed
    // nothing by themselves, and ejected one after the other: 27 to 46 times in these 20 s.
    const scenario = {
      ...scenarioNamed("lab stops"),
      lengthMs: 20_000,
      randomGray: undefined,
      baseErrorRate: 0,
      stops: [],
      grayPeriods: [
        { service: "reports", count: 2, fromMs: 6000, durationMs: 8000, failureRate: 0.9 },
      ],
    };
    const { ejections } = await simulate(scenario, seed);
    t.true(ejections.some((e) => e.service === "reports"));
    t.deepEqual(
      ejections.filter((e) => e.wasHealthy),
      [],
    );
  });

  test(`gray targets: a line at a target that has turned gray does not go on running there (seed ${seed})`, async (t) => {
    // Story: two booking targets turned gray while requests stood in line everywhere. Their sidecars knew that they
    // failed nine in ten, and yet had 39 and 55 bookings run there in a second: asks that had found no better target, when
    // the first failure had just been seen, stayed in line, and were not weighed again when more was known.
    const scenario = {
      ...scenarioNamed("listings short"),
      kinds: scaleRates(scenarioNamed("listings short").kinds, 1.15),
    };
    const worst = (await simulate(scenario, seed)).arrivals.worstRiskySecond(PROBES_ONLY_RISK);
    t.log(worst);
    t.true(worst.count <= MAX_PROBES_PER_SECOND);
  });

  test(`budget: repeats at a service, with the calls of repeated runs, stay within it (seed ${seed})`, async (t) => {
    // Story: targets of the booking service refused half of what they got, while the desk's targets
    // turned gray. Checks were sent again, and made their calls to the booking service again. These came on top of its own
    // repeats: 221 extra arrivals in ten seconds where 215 were allowed.
    const scenario = {
      ...scenarioNamed("busy"),
      lengthMs: 30_000,
      randomGray: undefined,
      grayPeriods: [
        {
          service: "hire-book",
          count: 8,
          fromMs: 10_000,
          durationMs: 10_000,
          failureRate: 0,
          shedRate: 0.55,
        },
        { service: "fleet-desk", count: 4, fromMs: 10_000, durationMs: 10_000, failureRate: 0.6 },
      ],
    };
    const fleet = await simulate(scenario, seed);
    for (const { name } of scenario.services) {
      const use = fleet.arrivals.worstWindow(name, fleet.budget);
      t.log(use);
      t.true(use.extras <= use.allowed, JSON.stringify(use));
    }
  });
}
