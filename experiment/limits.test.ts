import test from "ava";
import { seededRandom } from "../test/fixtures/seededRandom.ts";
import type { LimitPeriod, RollingStop } from "./Scenario.ts";
import { scenarios } from "./scenarios.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";

/** The users' rule: this long after a target first named its limit, the limit holds in each window. */
const IN_FORCE_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const allowedIn = (perS: number) => 1.5 * perS * (WINDOW_MS / 1000) + 5;

/** Share of what its limit allows that a target gets at least while its service refuses requests. */
const MIN_USED_SHARE = 0.7;

/** Time after the end of the limit by which a target gets as many requests as the others again, ms. */
const BACK_AFTER_MS = 3000;

const SERVICE = "hire-book";

const cases: readonly {
  name: string;
  scenario: string;
  stops: readonly RollingStop[];
  isOverloaded: boolean;
}[] = [
  { name: "some targets name one", scenario: "limits", stops: [], isOverloaded: false },
  { name: "all targets name one", scenario: "limits everywhere", stops: [], isOverloaded: true },
  {
    name: "their sidecars are restarted in turn",
    scenario: "limits everywhere",
    stops: [{ fromMs: 9000, count: 16, intervalMs: 700 }],
    isOverloaded: true,
  },
];

for (const { name, scenario: scenarioName, stops, isOverloaded } of cases) {
  for (const seed of [1, 2, 3]) {
    test(`limit: targets get what they take, and no more, where ${name} (seed ${seed})`, async (t) => {
      const found = scenarios.find((s) => s.name === scenarioName);
      const limit = found?.limits?.[0];
      if (!found || !limit) {
        t.fail(`no scenario ${scenarioName} with limits`);
        return;
      }
      const fleet = new SimFleet(
        { ...found, stops },
        { name: "product" },
        new SimClock(),
        seededRandom(seed),
      );
      await fleet.run();
      for (let n = 0; n < limit.count; n++) {
        const use = useOf(fleet, `${SERVICE}-${n}`, limit);
        t.log(use);
        t.true(use.busiest <= allowedIn(limit.perS));
        t.true(!isOverloaded || stops.length > 0 || use.usedShare >= MIN_USED_SHARE);
        t.true(stops.length > 0 || use.afterwards > limit.perS);
      }
    });
  }
}

/** How a target was used while it named a limit, and the requests a second that it got afterwards. */
function useOf({ arrivals }: SimFleet, name: string, { fromMs, durationMs, perS }: LimitPeriod) {
  const from = fromMs + IN_FORCE_AFTER_MS;
  const until = fromMs + durationMs;
  const seconds = (until - from) / 1000;
  const backAt = until + BACK_AFTER_MS;
  return {
    busiest: arrivals.busiestWindow(name, from, until, WINDOW_MS),
    usedShare: arrivals.count(name, from, until) / (seconds * perS),
    afterwards: arrivals.count(name, backAt, backAt + WINDOW_MS) / (WINDOW_MS / 1000),
  };
}
