import test from "ava";
import { checkLoad } from "./checkLoad.ts";
import { POLICY_LOADS } from "./POLICY_LOADS.ts";

// What callers get of a load, by the product's order of those in line and against strict priority.

const SEEDS = [1, 2];

for (const load of POLICY_LOADS) {
  test(`load "${load.scenario}": callers are served, and no kind is left behind`, async (t) => {
    await checkLoad(t, load, SEEDS);
  });
}
