import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import test from "ava";
import { planSoak } from "./planSoak.ts";
import { playSoak } from "./playSoak.ts";
import { renderSoak } from "./renderSoak.ts";
import type { SoakPlan } from "./SoakPlan.ts";

/** Plans that once broke a guarantee, as they were drawn, each with its cause. */
const REGRESSIONS: readonly { file: string; cause: string }[] = [
  {
    file: "not-run-after-a-run",
    cause: "a lookup that one target had failed, and the next refused, was called not run",
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
    // Promises with a bound in time are held against runs by hand: beside other work a machine may miss one, and
    // the verdict here has to be the same every time.
    for (const { guarantee, isTimed, violations } of result.results) {
      if (!isTimed) {
        t.deepEqual(violations, [], guarantee);
      }
    }
  });
}
