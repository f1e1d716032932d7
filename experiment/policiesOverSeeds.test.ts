import test from "ava";
import { checkLoad } from "./checkLoad.ts";
import { POLICY_LOADS } from "./POLICY_LOADS.ts";

// The same loads and bounds as in policies.test.ts over seeds enough to tell a policy from luck: a change that only draws
// other random numbers moves the mean of two seeds by some 0.02 either way.

const SEEDS = [3, 4, 5, 6, 7, 8, 9, 10];

for (const load of POLICY_LOADS) {
  test.serial(
    `load "${load.scenario}" over eight seeds: callers are served, and no kind is left behind`,
    async (t) => {
      t.timeout(180_000);
      // Over so many seeds it is to be ahead everywhere.
      await checkLoad(t, { ...load, beatsPriority: true }, SEEDS);
    },
  );
}
