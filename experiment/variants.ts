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
  // The share is too small for any hedge.
  { name: "no hedge", cancelsRuns: true, hedging: { quantile: 0.95, maxWorkShare: 1e-9 } },
  { name: "stuck runs hedged", cancelsRuns: true },
  { name: "hedge 2%", cancelsRuns: true, hedging: { quantile: 0.95, maxWorkShare: 0.02 } },
  { name: "hedge 5%", cancelsRuns: true, hedging: { quantile: 0.95, maxWorkShare: 0.05 } },
  { name: "hedge 10%", cancelsRuns: true, hedging: { quantile: 0.9, maxWorkShare: 0.1 } },
  { name: "two slots", cancelsRuns: true, firstRequests: 2 },
  { name: "cheapest target", cancelsRuns: true, picksCheapest: true },
];
