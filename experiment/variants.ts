import type { QueuedRequest } from "../src/sidecar/gate/QueuedRequest.ts";
import type { Variant } from "./Variant.ts";

const objectiveAt = ({ request, askedAt }: QueuedRequest) => askedAt + request.objectiveMs;

/** Strict priority, then by due date while that can be met. */
function byPriority(a: QueuedRequest, b: QueuedRequest, now: number, serviceMs: number): boolean {
  if (a.request.priority !== b.request.priority) {
    return a.request.priority < b.request.priority;
  }
  const [lateA, lateB] = [a, b].map((w) => now + serviceMs > objectiveAt(w));
  if (lateA !== lateB) {
    return lateB === true;
  }
  return lateA ? a.askedAt < b.askedAt : objectiveAt(a) < objectiveAt(b);
}

/** In the order in which they came, as a target's own queue would have it. */
const byArrival = (a: QueuedRequest, b: QueuedRequest) => a.askedAt < b.askedAt;

/** What is compared. */
export const variants: readonly Variant[] = [
  { name: "product" },
  { name: "first come", gate: { order: byArrival } },
  { name: "strict priority", gate: { order: byPriority } },
];
