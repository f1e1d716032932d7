import type { ExecutionContext } from "ava";
import { seededRandom } from "../test/fixtures/seededRandom.ts";
import type { PolicyLoad } from "./POLICY_LOADS.ts";
import { scenarios } from "./scenarios.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";
import type { Figures } from "./Tally.ts";
import { variants } from "./variants.ts";

/** Plays a load by the product's rules and by strict priority, and holds the means over `seeds` to what callers are to get. */
export async function checkLoad(
  t: ExecutionContext,
  { scenario, served, worstKind: credit, beatsPriority }: PolicyLoad,
  seeds: readonly number[],
): Promise<void> {
  const product = await play(scenario, "product", seeds);
  const before = await play(scenario, "strict priority", seeds);
  t.log(`served ${mean(before, (f) => f.served)} -> ${mean(product, (f) => f.served)}`);
  t.log(`worst kind ${mean(before, worstKind)} -> ${mean(product, worstKind)}`);
  t.true(mean(product, (f) => f.served) >= served);
  t.is(mean(product, (f) => f.served) > mean(before, (f) => f.served), beatsPriority);
  t.true(mean(product, worstKind) >= credit);
}

async function play(
  scenarioName: string,
  variantName: string,
  seeds: readonly number[],
): Promise<Figures[]> {
  const scenario = scenarios.find((s) => s.name === scenarioName);
  const variant = variants.find((v) => v.name === variantName);
  const runs: Figures[] = [];
  for (const seed of seeds) {
    if (!scenario || !variant) {
      throw new Error(`no ${scenarioName} or ${variantName}`);
    }
    const fleet = new SimFleet(scenario, variant, new SimClock(), seededRandom(seed));
    await fleet.play();
    runs.push(fleet.tally.figures());
  }
  return runs;
}

const mean = (runs: readonly Figures[], pick: (f: Figures) => number) =>
  runs.reduce((sum, f) => sum + pick(f), 0) / runs.length;

const worstKind = (f: Figures) => Math.min(...Object.values(f.byKind));
