import { isLate } from "./isLate.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/** Head start of each rank of priority over the next, ms: strict priority would leave the lower ranks nothing under load. */
const PRIORITY_STEP_MS = 100;

/** The same among those that are late anyway. */
const LATE_PRIORITY_STEP_MS = 500;

/**
 * Whether `a` is to have the next free slot before `b`. Calls that targets make in the midst of their runs go first: each
 * holds a slot elsewhere, and where it is refused the work done there is lost, and its caller told of a failure rather
 * than that nothing has run. Then, of asks that can still meet their objective, the one that is due first, with a head
 * start for priority: earliest due date first meets the most objectives. Under overload it would spend the slots on requests that
 * are late anyway, so those go last, by age, with a longer head start for priority.
 *
 * @param now the gate's clock, ms
 * @param serviceMs how long a request takes here
 */
export function goesBefore(
  a: QueuedRequest,
  b: QueuedRequest,
  now: number,
  serviceMs: number,
): boolean {
  if (a.request.isCall !== b.request.isCall) {
    return a.request.isCall;
  }
  const [lateA, lateB] = [isLate(a, now, serviceMs), isLate(b, now, serviceMs)];
  if (lateA !== lateB) {
    return lateB;
  }
  const rankOf = lateA ? lateRank : onTimeRank;
  return rankOf(a) < rankOf(b);
}

function onTimeRank({ request, askedAt }: QueuedRequest): number {
  return askedAt + request.objectiveMs + request.priority * PRIORITY_STEP_MS;
}

function lateRank({ request, askedAt }: QueuedRequest): number {
  return askedAt + request.priority * LATE_PRIORITY_STEP_MS;
}
