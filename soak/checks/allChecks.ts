import type { Check } from "./Check.ts";
import { endlessBytesAreContained } from "./endlessBytesAreContained.ts";
import { slowReadersAreServed } from "./slowReadersAreServed.ts";
import { documentIsApplied } from "./documentIsApplied.ts";
import { nothingOlderAfterBlackouts } from "./nothingOlderAfterBlackouts.ts";
import { leavingGetsNoWork } from "./leavingGetsNoWork.ts";
import { limitsAreKept } from "./limitsAreKept.ts";
import { fatalRequestsAreContained } from "./fatalRequestsAreContained.ts";
import { healthyStayInUse } from "./healthyStayInUse.ts";
import { drainingGetsNoWork } from "./drainingGetsNoWork.ts";
import { keysAreRevoked } from "./keysAreRevoked.ts";
import { quotaIsKept } from "./quotaIsKept.ts";
import { validKeysAreAdmitted } from "./validKeysAreAdmitted.ts";
import { notRunNeverRan } from "./notRunNeverRan.ts";
import { resourceUseIsBounded } from "./resourceUseIsBounded.ts";
import { responsesMatchRequests } from "./responsesMatchRequests.ts";
import { readyAcceptsConnections } from "./readyAcceptsConnections.ts";
import { retryBudget, type FleetRetryBudget } from "./retryBudget.ts";
import { runsAtMostOnce } from "./runsAtMostOnce.ts";
import { recoversAfterFaults } from "./recoversAfterFaults.ts";
import { stopsAbortNothing } from "./stopsAbortNothing.ts";
import { stopsBreakOffNoRun } from "./stopsBreakOffNoRun.ts";
import { stopsEndInTime } from "./stopsEndInTime.ts";

/**
 * Returns the checks of all guarantees.
 *
 * @param budget the retry budget of the soak run's fleet
 * @param timeoutMs the routes' timeout, ms
 */
export const allChecks = (budget: FleetRetryBudget, timeoutMs: number): readonly Check[] => [
  responsesMatchRequests,
  notRunNeverRan,
  runsAtMostOnce,
  retryBudget(budget),
  healthyStayInUse,
  fatalRequestsAreContained,
  drainingGetsNoWork,
  leavingGetsNoWork,
  limitsAreKept,
  keysAreRevoked,
  validKeysAreAdmitted,
  quotaIsKept,
  stopsAbortNothing,
  stopsBreakOffNoRun(timeoutMs),
  stopsEndInTime,
  documentIsApplied,
  nothingOlderAfterBlackouts,
  readyAcceptsConnections,
  recoversAfterFaults,
  endlessBytesAreContained,
  slowReadersAreServed,
  resourceUseIsBounded,
];
