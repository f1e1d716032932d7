import type { Check } from "./Check.ts";
import { documentHolds } from "./documentHolds.ts";
import { floorIsKept } from "./floorIsKept.ts";
import { leavingGetsNothing } from "./leavingGetsNothing.ts";
import { notRunIsTrue } from "./notRunIsTrue.ts";
import { nothingLeaks } from "./nothingLeaks.ts";
import { ownWholeAnswers } from "./ownWholeAnswers.ts";
import { readyTakesCallers } from "./readyTakesCallers.ts";
import { retryBudget, type FleetBudget } from "./retryBudget.ts";
import { runsOnce } from "./runsOnce.ts";
import { servesAgain } from "./servesAgain.ts";
import { stopsCutNothing } from "./stopsCutNothing.ts";
import { stopsEndInTime } from "./stopsEndInTime.ts";

/** Every promise that a run is held against. */
export const allChecks = (budget: FleetBudget): readonly Check[] => [
  ownWholeAnswers,
  notRunIsTrue,
  runsOnce,
  retryBudget(budget),
  floorIsKept,
  leavingGetsNothing,
  stopsCutNothing,
  stopsEndInTime,
  documentHolds,
  readyTakesCallers,
  servesAgain,
  nothingLeaks,
];
