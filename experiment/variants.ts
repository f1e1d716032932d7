import type { QueuedRequest } from "../src/sidecar/gate/QueuedRequest.ts";
import type { Variant } from "./Variant.ts";

const objectiveAt = ({ request, receivedAt }: QueuedRequest) => receivedAt + request.objectiveMs;

/** Strict priority; within a priority, earliest objective first among requests that can still meet theirs. */
function byPriority(a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number): boolean {
  if (a.request.priority !== b.request.priority) {
    return a.request.priority < b.request.priority;
  }
  const [lateA, lateB] = [a, b].map((w) => now + serviceMs > objectiveAt(w));
  if (lateA !== lateB) {
    return lateB === true;
  }
  return lateA ? a.receivedAt < b.receivedAt : objectiveAt(a) < objectiveAt(b);
}

/** First come, first served, as in a queue at the target itself. */
const byArrival = (a: QueuedRequest, b: QueuedRequest) => a.receivedAt < b.receivedAt;

/** The policies that the experiment compares. */
export const variants: readonly Variant[] = [
  { name: "product" },
  { name: "sender shares", sharesLimits: true },
  { name: "fair shares", sharesSlotTime: true },
  { name: "first come", gate: { order: byArrival } },
  { name: "strict priority", gate: { order: byPriority } },
];
