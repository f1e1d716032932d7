import test from "ava";
import { checkLoad } from "./checkLoad.ts";
import { POLICY_LOADS } from "./POLICY_LOADS.ts";

// Guards the share of requests served under each load against changes to the order of the admission queue.

const SEEDS = [1, 2];

for (const load of POLICY_LOADS) {
  test(`load "${load.scenario}": callers are served, and no kind is left behind`, async (t) => {
    await checkLoad(t, load, SEEDS);
  });
}
