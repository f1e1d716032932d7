import { SOAK_WORKSPACES } from "../SOAK_WORKSPACES.ts";
import type { Check, Violation } from "./Check.ts";
import { NESTED_CALL_SEPARATOR } from "../NESTED_CALL_SEPARATOR.ts";
import type { CallRecord, TargetRecord } from "../History.ts";

/** The retry budget that the soak run's fleet is configured with. */
export interface FleetRetryBudget {
  /** Extra arrivals allowed for each request of a caller. */
  readonly ratio: number;
  /** Length of the window, ms. */
  readonly windowMs: number;
  /** Extra arrivals allowed in each window in addition, whatever the number of requests. */
  readonly slack: number;
}

/**
 * Checks that extra arrivals at a service stay within the retry budget in every window, over the whole fleet and across
 * restarts. Nested calls made by a repeated run are extra too.
 */
export function retryBudget(budget: FleetRetryBudget): Check {
  return {
    guarantee: "extra arrivals at targets stay within the retry budget",
    isTimed: false,
    run: ({ calls, accounts, targets }) => {
      const services = [...new Set(targets.map((t) => t.service))];
      const extras = extraArrivals(targets);
      const violations = services.flatMap((service) => {
        const sent = calls.filter((c) => c.service === service);
        const ofAccounts = service === SOAK_WORKSPACES.service ? accounts : [];
        const requests = [...sent, ...ofAccounts].map((c) => c.sentAt);
        const worst = worstWindow(extras.get(service) ?? [], requests, budget);
        return worst && worst.count > worst.allowed ? [toViolation(service, worst)] : [];
      });
      return { count: [...extras.values()].flat().length, violations };
    },
  };
}

/** Extra arrivals in one window, and the number that its requests allow. */
interface Window {
  readonly from: number;
  readonly count: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Times of extra arrivals, by service. */
function extraArrivals(targets: readonly TargetRecord[]): Map<string, number[]> {
  // Probes for the document in force have no tag and are never repeats.
  const arrivals = targets
    .filter((t) => t.event === "arrived" && t.tag !== "")
    .sort((a, b) => a.at - b.at);
  const counts = new Map<string, number>();
  const extras = new Map<string, number[]>();
  for (const { tag, at, service } of arrivals) {
    const earlier = counts.get(tag) ?? 0;
    counts.set(tag, earlier + 1);
    const [parent = ""] = tag.split(NESTED_CALL_SEPARATOR);
    const isCallOfRepeat = tag !== parent && (counts.get(parent) ?? 0) > 1;
    if (earlier > 0 || isCallOfRepeat) {
      extras.set(service, [...(extras.get(service) ?? []), at]);
    }
  }
  return extras;
}

/** The window with the most extra arrivals in proportion to the number allowed; undefined without extra arrivals. */
function worstWindow(
  extras: readonly number[],
  requests: readonly CallRecord["sentAt"][],
  { ratio, windowMs, slack }: FleetRetryBudget,
): Window | undefined {
  const within = (list: readonly number[], from: number) =>
    list.filter((at) => from <= at && at < from + windowMs).length;
  const windows = extras.map((from) => {
    // Extra arrivals may lag behind their requests, so the window that starts half or a whole window earlier counts
    // instead if it had more requests.
    const counted = Math.max(
      within(requests, from),
      within(requests, from - windowMs / 2),
      within(requests, from - windowMs),
    );
    const count = within(extras, from);
    return { from, count, requests: counted, allowed: ratio * counted + slack };
  });
  return windows.sort((a, b) => b.count / b.allowed - a.count / a.allowed)[0];
}

function toViolation(service: string, { from, count, requests, allowed }: Window): Violation {
  const what = `${service}: ${count} extra arrivals for ${requests} requests, allowed ${allowed}`;
  return { at: from, what };
}
