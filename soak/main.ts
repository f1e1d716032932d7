import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { defineCommand, runMain } from "citty";
import { minimizeSoak } from "./minimizeSoak.ts";
import { planSoak } from "./planSoak.ts";
import { planStops } from "./planStops.ts";
import { playSoak } from "./playSoak.ts";
import { plotSoak } from "./plotSoak.ts";
import { allHeld, renderSoak } from "./renderSoak.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/**
 * Plays a plan and writes the results to a directory: the plan, a report and a plot, and, if a guarantee was violated,
 * the history and the logs. Resolves with whether every guarantee held.
 */
async function playAndSave(plan: SoakPlan, out: string): Promise<boolean> {
  const result = await playSoak(plan);
  const passed = allHeld(result);
  const dir = join(out, `seed-${plan.seed}`);
  mkdirSync(dir, { recursive: true });
  writeFileSync(join(dir, "plan.json"), JSON.stringify(plan, undefined, 1));
  writeFileSync(join(dir, "report.txt"), renderSoak(result));
  writeFileSync(join(dir, "served.svg"), plotSoak(result));
  if (!passed) {
    writeFileSync(join(dir, "history.json"), JSON.stringify(result.history));
    cpSync(result.dir, join(dir, "logs"), { recursive: true });
  }
  process.stdout.write(renderSoak(result));
  process.stdout.write(`to repeat: npm run soak -- --plan ${join(dir, "plan.json")}\n\n`);
  return passed;
}

const main = defineCommand({
  meta: {
    name: "soak",
    description:
      "Injects random faults into a fleet of real processes and checks the product's guarantees.",
  },
  args: {
    stops: {
      type: "boolean",
      default: false,
      description: "Plan rolling stops of sidecars only, with long runs and downloads",
    },
    seed: { type: "string", default: "1", description: "The first seed" },
    seeds: { type: "string", default: "1", description: "Number of successive seeds to play" },
    minutes: {
      type: "string",
      default: "1",
      description: "Duration of the load of each run, in minutes",
    },
    processes: {
      type: "string",
      default: "30",
      description: "Approximate number of processes in each run",
    },
    plan: { type: "string", description: "A plan.json to play instead of seeds" },
    minimize: {
      type: "boolean",
      default: false,
      description: "Drop faults from a failing plan while it still fails",
    },
    out: {
      type: "string",
      default: "/tmp/burdockpass-soak",
      description: "Directory for the reports",
    },
  },
  async run({ args }) {
    const plans = args.plan
      ? [JSON.parse(readFileSync(args.plan, "utf8")) as SoakPlan]
      : Array.from({ length: Number(args.seeds) }, (_, n) =>
          (args.stops ? planStops : planSoak)(
            Number(args.seed) + n,
            Math.round(Number(args.minutes) * 60),
            Number(args.processes),
          ),
        );
    let failed = 0;
    for (const plan of plans) {
      const passed = await playAndSave(plan, args.out);
      failed += passed ? 0 : 1;
      if (!passed && args.minimize) {
        const fails = async (smaller: SoakPlan) =>
          !(await playAndSave(smaller, join(args.out, "min")));
        const smallest = await minimizeSoak(plan, fails);
        process.stdout.write(`smallest failing schedule:\n${JSON.stringify(smallest.faults)}\n`);
      }
    }
    process.stdout.write(`${plans.length} played, ${failed} with a violated guarantee\n`);
    process.exit(failed === 0 ? 0 : 1);
  },
});

void runMain(main);
