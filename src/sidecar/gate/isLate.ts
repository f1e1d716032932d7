import type { QueuedRequest } from "./QueuedRequest.ts";

/**
 * Whether a queued slot request can no longer meet its latency objective, even if its run started now.
 *
 * @param now current time by the gate's clock, ms
 * @param serviceMs mean service time at the target, ms; used where the typical time of the request is unknown
 */
export function isLate(
  { request, receivedAt }: QueuedRequest,
  now: number,
  serviceMs: number,
): boolean {
  const workMs = request.typicalMs > 0 ? request.typicalMs : serviceMs;
  return now + workMs > receivedAt + request.objectiveMs;
}
