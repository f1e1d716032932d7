import { isLate } from "./isLate.ts";
import { priorityStepMs } from "./priorityStepMs.ts";
import type { QueuedRequest } from "./QueuedRequest.ts";

/**
 * Whether `a` gets the next free slot before `b`. Nested calls go first: the run that makes one holds a slot at
 * another target, and if the call is refused, that run's work is lost and its caller gets a failure instead of a
 * reply that nothing has run. Next come requests that can still meet their latency objective, earliest due first,
 * with a head start for priority: earliest due date first meets the most objectives. Under overload that order alone
 * would spend the slots on requests that are already late, so late requests go last, by age, with a longer head start
 * for priority.
 *
 * @param now current time by the gate's clock, ms
 * @param serviceMs mean service time at the target, ms
 */
export function goesBefore(
  a: QueuedRequest,
  b: QueuedRequest,
  now: number,
  serviceMs: number,
): boolean {
  if (a.request.isNestedCall !== b.request.isNestedCall) {
    return a.request.isNestedCall;
  }
  const [lateA, lateB] = [isLate(a, now, serviceMs), isLate(b, now, serviceMs)];
  if (lateA !== lateB) {
    return lateB;
  }
  const rankOf = lateA ? lateRank : onTimeRank;
  return rankOf(a) < rankOf(b);
}

function onTimeRank({ request, receivedAt }: QueuedRequest): number {
  return receivedAt + request.objectiveMs + request.priority * priorityStepMs(false);
}

function lateRank({ request, receivedAt }: QueuedRequest): number {
  return receivedAt + request.priority * priorityStepMs(true);
}
