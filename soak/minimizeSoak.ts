import type { PlannedFault, SoakPlan } from "./SoakPlan.ts";

/**
 * Drops faults from a plan for as long as `fails` says that what is left still fails: halves first, then single
 * ones (delta debugging; Zeller and Hildebrandt, 2002).
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

/** The schedule with each of so many pieces left out. */
function withoutEachPiece(faults: readonly PlannedFault[], pieces: number): PlannedFault[][] {
  const size = Math.ceil(faults.length / pieces);
  return Array.from({ length: pieces }, (_, n) =>
    faults.filter((_fault, i) => Math.floor(i / size) !== n),
  ).filter((rest) => rest.length < faults.length);
}

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
