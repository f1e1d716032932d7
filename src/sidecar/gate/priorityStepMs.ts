/** Head start of each priority level over the next lower one, ms. Under load strict priority starves lower levels. */
const PRIORITY_STEP_MS = 100;

/** The same among late requests. */
const LATE_PRIORITY_STEP_MS = 500;

/** Head start of each priority level over the next lower one in the admission queue, ms. */
export function priorityStepMs(isLate: boolean): number {
  return isLate ? LATE_PRIORITY_STEP_MS : PRIORITY_STEP_MS;
}
