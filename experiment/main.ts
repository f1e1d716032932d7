import { seededRandom } from "../test/fixtures/seededRandom.ts";
import { scenarios } from "./scenarios.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";
import type { Figures } from "./Tally.ts";
import { variants } from "./variants.ts";

// Compares policies on the same loads: `npm run experiment -- [SEEDS] [SCENARIO [VARIANT]]`; SEEDS is the number of seeds.
const [seeds = "5", only, onlyVariant] = process.argv.slice(2);

const columns = ["goal", "served", "worth", "worst", "refused", "failed", "p95", "p99"] as const;

for (const scenario of scenarios.filter((s) => only === undefined || s.name === only)) {
  for (const variant of variants.filter((v) => (onlyVariant ?? v.name) === v.name)) {
    const runs: Figures[] = [];
    let slotRequests = 0;
    let targetMs = 0;
    let hedges = 0;
    let won = 0;
    for (let seed = 1; seed <= Number(seeds); seed++) {
      const clock = new SimClock();
      const fleet = new SimFleet(scenario, variant, clock, seededRandom(seed));
      await fleet.run();
      runs.push(fleet.tally.figures());
      targetMs += fleet.targetMs / fleet.tally.count;
      hedges += fleet.hedges.length / fleet.tally.count;
      won += fleet.hedges.filter((h) => h.won === "second").length / fleet.tally.count;
      slotRequests += fleet.slotRequests / fleet.tally.count;
    }
    const mean = (pick: (f: Figures) => number) =>
      runs.reduce((sum, f) => sum + pick(f), 0) / runs.length;
    const cells = columns.map((c) => `${c} ${mean((f) => f[c]).toFixed(3)}`);
    const kinds = Object.keys(runs[0]?.byKind ?? {})
      .sort()
      .map((k) => `${k} ${mean((f) => f.byKind[k] ?? 0).toFixed(3)}`);
    console.log(
      scenario.name.padEnd(14),
      variant.name.padEnd(20),
      cells.join("  "),
      `slot requests ${(slotRequests / runs.length).toFixed(2)}`,
      `target time ${(targetMs / runs.length).toFixed(0)} ms`,
      `hedges ${(hedges / runs.length).toFixed(4)} won ${(won / runs.length).toFixed(4)}`,
      `refused after ${mean((f) => f.refusedAfterMs).toFixed(0)} ms`,
      kinds.join("  "),
    );
  }
}
