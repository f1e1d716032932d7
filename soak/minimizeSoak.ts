import type { PlannedFault, SoakPlan } from "./SoakPlan.ts";

/**
 * Reduces a failing plan's faults for as long as `fails` reports that the reduced plan still fails: drops halves first,
 * then smaller pieces down to single faults (delta debugging; Zeller and Hildebrandt, 2002).
 */
export async function minimizeSoak(
  plan: SoakPlan,
  fails: (plan: SoakPlan) => Promise<boolean>,
): Promise<SoakPlan> {
  let faults = plan.faults;
  let pieces = 2;
  while (faults.length > 1) {
    const smaller = await firstFailing(plan, withoutEachPiece(faults, pieces), fails);
    if (smaller) {
      faults = smaller;
      pieces = Math.max(2, pieces - 1);
    } else if (pieces >= faults.length) {
      break;
    } else {
      pieces = Math.min(faults.length, pieces * 2);
    }
  }
  return { ...plan, faults };
}

/** Splits the faults into `pieces`, and returns for each piece the schedule without it. */
function withoutEachPiece(faults: readonly PlannedFault[], pieces: number): PlannedFault[][] {
  const size = Math.ceil(faults.length / pieces);
  return Array.from({ length: pieces }, (_, n) =>
    faults.filter((_fault, i) => Math.floor(i / size) !== n),
  ).filter((rest) => rest.length < faults.length);
}

/** Returns the first of the schedules with which the plan fails; undefined if none does. */
async function firstFailing(
  plan: SoakPlan,
  candidates: readonly (readonly PlannedFault[])[],
  fails: (plan: SoakPlan) => Promise<boolean>,
): Promise<readonly PlannedFault[] | undefined> {
  for (const faults of candidates) {
    if (await fails({ ...plan, faults })) {
      return faults;
    }
  }
  return undefined;
}
