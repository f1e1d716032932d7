import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import test from "ava";
import { planSoak } from "./planSoak.ts";
import { playSoak } from "./playSoak.ts";
import { renderSoak } from "./renderSoak.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** Plans that once violated a guarantee, as they were generated, each with the fault of the product that it exposed. */
const REGRESSIONS: readonly { file: string; cause: string }[] = [
  {
    file: "not-run-after-a-run",
    cause: "a lookup that failed at one target and was refused by the next is reported as not run",
  },
  {
    file: "pipelined-behind-a-close",
    cause: "a stopping sidecar's close loses downloads that were passed on",
  },
];

const SHORT = { seconds: 35, processes: 18 };

const plans: readonly { name: string; plan: () => SoakPlan }[] = [
  { name: "seed 5", plan: () => planSoak(5, SHORT.seconds, SHORT.processes) },
  ...REGRESSIONS.map(({ file, cause }) => ({ name: cause, plan: () => read(file) })),
];

function read(file: string): SoakPlan {
  const path = fileURLToPath(new URL(`./regressions/${file}.json`, import.meta.url));
  return JSON.parse(readFileSync(path, "utf8")) as SoakPlan;
}

for (const { name, plan } of plans) {
  test.serial(`soak: ${name}`, async (t) => {
    t.timeout(240_000);
    const result = await playSoak(plan());
    t.log(renderSoak(result));
    // Guarantees with a time bound are checked only in runs by hand: a machine with other work may miss the bound, and
    // this test has to give the same verdict every time.
    for (const { guarantee, isTimed, violations } of result.results) {
      if (!isTimed) {
        t.deepEqual(violations, [], guarantee);
      }
    }
  });
}
