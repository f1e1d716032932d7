import { cpSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { defineCommand, runMain } from "citty";
import { minimizeSoak } from "./minimizeSoak.ts";
import { planSoak } from "./planSoak.ts";
import { playSoak } from "./playSoak.ts";
import { plotSoak } from "./plotSoak.ts";
import { allHeld, renderSoak } from "./renderSoak.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** Keeps all that tells of a run in a folder: its plan, report, plot, and, where it failed, logs and histories. */
async function playAndSave(plan: SoakPlan, out: string): Promise<boolean> {
  const result = await playSoak(plan);
  const kept = allHeld(result);
  const dir = join(out, `seed-${plan.seed}`);
  mkdirSync(dir, { recursive: true });
  writeFileSync(join(dir, "plan.json"), JSON.stringify(plan, undefined, 1));
  writeFileSync(join(dir, "report.txt"), renderSoak(result));
  writeFileSync(join(dir, "served.svg"), plotSoak(result));
  if (!kept) {
    writeFileSync(join(dir, "history.json"), JSON.stringify(result.history));
    cpSync(result.dir, join(dir, "logs"), { recursive: true });
  }
  process.stdout.write(renderSoak(result));
  process.stdout.write(`again: npm run soak -- --plan ${join(dir, "plan.json")}\n\n`);
  return kept;
}

const main = defineCommand({
  meta: {
    name: "soak",
    description: "Plays random faults on a fleet of real processes, and checks the promises.",
  },
  args: {
    seed: { type: "string", default: "1", description: "The first seed" },
    seeds: { type: "string", default: "1", description: "How many seeds, one after the other" },
    minutes: { type: "string", default: "1", description: "Length of each run" },
    processes: { type: "string", default: "30", description: "Processes in each run, about" },
    plan: { type: "string", description: "A plan.json to play again, in place of seeds" },
    minimize: { type: "boolean", default: false, description: "Drop faults while it still fails" },
    out: {
      type: "string",
      default: "/tmp/burdockpass-soak",
      description: "Where reports are kept",
    },
  },
  async run({ args }) {
    const plans = args.plan
      ? [JSON.parse(readFileSync(args.plan, "utf8")) as SoakPlan]
      : Array.from({ length: Number(args.seeds) }, (_, n) =>
          planSoak(
            Number(args.seed) + n,
            Math.round(Number(args.minutes) * 60),
            Number(args.processes),
          ),
        );
    let failed = 0;
    for (const plan of plans) {
      const kept = await playAndSave(plan, args.out);
      failed += kept ? 0 : 1;
      if (!kept && args.minimize) {
        const fails = async (smaller: SoakPlan) =>
          !(await playAndSave(smaller, join(args.out, "min")));
        const smallest = await minimizeSoak(plan, fails);
        process.stdout.write(`smallest schedule that fails:\n${JSON.stringify(smallest.faults)}\n`);
      }
    }
    process.stdout.write(`${plans.length} played, ${failed} with a guarantee broken\n`);
    process.exit(failed === 0 ? 0 : 1);
  },
});

void runMain(main);
