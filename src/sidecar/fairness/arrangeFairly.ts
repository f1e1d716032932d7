import { goesBefore } from "../gate/goesBefore.ts";
import { isLate } from "../gate/isLate.ts";
import { priorityStepMs } from "../gate/priorityStepMs.ts";
import type { QueuedRequest } from "../gate/QueuedRequest.ts";
import type { FairShareRule } from "./FairShareRule.ts";
import type { FairTags } from "./FairTags.ts";
import { workspaceOf } from "./workspaceOf.ts";

interface FairContext {
  readonly tags: Pick<FairTags, "startOf">;
  readonly rule: FairShareRule;
  /** Expected slot time of a request, ms. */
  readonly costMs: (waiting: QueuedRequest) => number;
  /** Number of requests that the target can run at once. */
  readonly slots: number;
  /** Current time by the gate's clock, ms. */
  readonly now: number;
  /** Mean service time at the target, ms. */
  readonly serviceMs: number;
}

/** A queued request with what decides its place. */
interface Ranked {
  readonly waiting: QueuedRequest;
  /** 0 for nested calls, 1 for requests that can still meet their objective, 2 for late ones. */
  readonly rank: number;
  /** Virtual start time within the rank, less the head start for priority, ms. */
  readonly tag: number;
}

/**
 * Returns queued requests in the order in which they are to be served: nested calls, then requests that can still meet
 * their latency objective, then late ones; within the last two, by the virtual start times that the requests will have
 * if no other arrives. The requests of one workspace keep the order of {@link goesBefore}. Priority is the same head
 * start in time as there, converted into virtual time by the rate at which that passes now.
 */
export function arrangeFairly(
  queued: readonly QueuedRequest[],
  context: FairContext,
): QueuedRequest[] {
  const { now, serviceMs } = context;
  const order = (a: QueuedRequest, b: QueuedRequest) =>
    Number(goesBefore(b, a, now, serviceMs)) - Number(goesBefore(a, b, now, serviceMs));
  return rankAll([...queued].sort(order), context)
    .sort((a, b) => a.rank - b.rank || a.tag - b.tag)
    .map(({ waiting }) => waiting);
}

/** Ranks requests that are in the order of {@link goesBefore}. */
function rankAll(inOrder: readonly QueuedRequest[], context: FairContext): Ranked[] {
  const { rule, costMs, now, serviceMs } = context;
  const starts = firstStarts(inOrder, context);
  const lastTags = new Map<string, number>();
  const virtualPerMs = virtualTimeRate(starts.keys(), context);
  return inOrder.map((waiting) => {
    const { request } = waiting;
    if (request.isNestedCall) {
      return { waiting, rank: 0, tag: 0 };
    }
    const workspace = workspaceOf(request);
    const late = isLate(waiting, now, serviceMs);
    const start = starts.get(workspace) ?? 0;
    starts.set(workspace, start + costMs(waiting) / rule.weightOf(workspace));
    const own = start + request.priority * priorityStepMs(late) * virtualPerMs;
    // No request overtakes an earlier one of its workspace by its priority alone.
    const tag = Math.max(own, lastTags.get(workspace) ?? -Infinity);
    lastTags.set(workspace, tag);
    return { waiting, rank: late ? 2 : 1, tag };
  });
}

/** Start tag of the first queued request of each workspace. */
function firstStarts(queued: readonly QueuedRequest[], { tags }: FairContext): Map<string, number> {
  const starts = new Map<string, number>();
  for (const { request, virtualArrivalMs = 0 } of queued.filter((w) => !w.request.isNestedCall)) {
    const workspace = workspaceOf(request);
    const start = tags.startOf(workspace, virtualArrivalMs);
    starts.set(workspace, Math.min(start, starts.get(workspace) ?? Infinity));
  }
  return starts;
}

/** Virtual time that passes in 1 ms while all slots are used by these workspaces, ms. */
function virtualTimeRate(workspaces: Iterable<string>, { rule, slots }: FairContext): number {
  const total = [...workspaces].reduce((sum, w) => sum + rule.weightOf(w), 0);
  return total > 0 ? slots / total : 0;
}
