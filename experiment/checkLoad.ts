import type { ExecutionContext } from "ava";
import { seededRandom } from "../test/fixtures/seededRandom.ts";
import type { PolicyLoad } from "./POLICY_LOADS.ts";
import { scenarios } from "./scenarios.ts";
import { SimClock } from "./SimClock.ts";
import { SimFleet } from "./SimFleet.ts";
import type { Figures } from "./Tally.ts";
import { variants } from "./variants.ts";

/**
 * Simulates a load with the product's policy and with strict priority, and checks that the product's means over `seeds`
 * reach the load's minimums.
 */
export async function checkLoad(
  t: ExecutionContext,
  { scenario, minServed, minWorstKindCredit, beatsPriority }: PolicyLoad,
  seeds: readonly number[],
): Promise<void> {
  const product = await simulate(scenario, "product", seeds);
  const strictPriority = await simulate(scenario, "strict priority", seeds);
  t.log(`served ${mean(strictPriority, (f) => f.served)} -> ${mean(product, (f) => f.served)}`);
  t.log(`worst kind ${mean(strictPriority, worstKind)} -> ${mean(product, worstKind)}`);
  t.true(mean(product, (f) => f.served) >= minServed);
  t.is(mean(product, (f) => f.served) > mean(strictPriority, (f) => f.served), beatsPriority);
  t.true(mean(product, worstKind) >= minWorstKindCredit);
}

async function simulate(
  scenarioName: string,
  variantName: string,
  seeds: readonly number[],
): Promise<Figures[]> {
  const scenario = scenarios.find((s) => s.name === scenarioName);
  const variant = variants.find((v) => v.name === variantName);
  const runs: Figures[] = [];
  for (const seed of seeds) {
    if (!scenario || !variant) {
      throw new Error(`no scenario "${scenarioName}" or no variant "${variantName}"`);
    }
    const fleet = new SimFleet(scenario, variant, new SimClock(), seededRandom(seed));
    await fleet.run();
    runs.push(fleet.tally.figures());
  }
  return runs;
}

const mean = (runs: readonly Figures[], pick: (f: Figures) => number) =>
  runs.reduce((sum, f) => sum + pick(f), 0) / runs.length;

const worstKind = (f: Figures) => Math.min(...Object.values(f.byKind));
