import test from "ava";
import { planSoak, vmNames } from "./planSoak.ts";
import { planStops } from "./planStops.ts";
import { FaultKind } from "./SoakPlan.ts";

test("plan: the same seed gives the same plan, another seed a different one", (t) => {
  t.deepEqual(planSoak(7, 60, 30), planSoak(7, 60, 30));
  t.notDeepEqual(planSoak(7, 60, 30), planSoak(8, 60, 30));
});

test("plan: faults name existing processes and leave the start and end of the load free of faults", (t) => {
  for (let seed = 1; seed <= 50; seed++) {
    const { faults, services, controls, seconds } = planSoak(seed, 60, 40);
    const names = [
      "",
      ...services.flatMap((s) => vmNames(s)),
      ...Array.from({ length: controls }, (_, n) => `control-${n + 1}`),
    ];
    t.true(faults.length > 10);
    t.true(faults.every((f) => names.includes(f.on)));
    t.true(faults.every((f) => f.atS >= 4 && f.atS + f.forS <= seconds - 16 + 1e-9));
  }
});

test("plan: fifty seeds cover every kind of fault", (t) => {
  const seen = new Set<string>();
  for (let seed = 1; seed <= 50; seed++) {
    planSoak(seed, 60, 30).faults.forEach((f) => seen.add(f.kind));
  }
  t.deepEqual([...seen].sort(), [...Object.values(FaultKind)].sort());
});

test("plan of stops: the same seed gives the same plan, and stops of several sidecars overlap", (t) => {
  for (let seed = 1; seed <= 20; seed++) {
    const plan = planStops(seed, 60, 24);
    const graceMs = plan.stop?.graceMs ?? 0;
    const stops = plan.faults.filter((f) => f.kind === FaultKind.PlannedStop);
    t.deepEqual(planStops(seed, 60, 24), plan);
    t.true(stops.some((f, n) => n > 0 && f.atS - (stops[n - 1]?.atS ?? 0) < graceMs / 1000));
    t.true(plan.faults.every((f) => f.atS >= 3 && f.atS + f.forS <= plan.seconds - 10 + 1e-9));
  }
});
