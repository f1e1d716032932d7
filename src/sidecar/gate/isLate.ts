import type { QueuedRequest } from "./QueuedRequest.ts";

/**
 * Whether an ask in line cannot meet its objective any more, even if it starts now.
 *
 * @param now the gate's clock, ms
 * @param serviceMs how long a request takes here, where its own usual time is not known
 */
export function isLate(
  { request, askedAt }: QueuedRequest,
  now: number,
  serviceMs: number,
): boolean {
  const workMs = request.typicalMs > 0 ? request.typicalMs : serviceMs;
  return now + workMs > askedAt + request.objectiveMs;
}
