import type { Check, Violation } from "./Check.ts";
import { NESTED_CALL_SEPARATOR } from "../NESTED_CALL_SEPARATOR.ts";
import type { CallRecord, TargetRecord } from "../History.ts";

/** What the fleet may send beside callers' own requests; the settings of the soak's fleets. */
export interface FleetRetryBudget {
  readonly ratio: number;
  readonly windowMs: number;
  readonly slack: number;
}

/**
 * Extra arrivals at a service stay within the retry budget in every window, over the whole fleet, restarts
 * included. Calls made by a run that repeats another are extra too.
 */
export function retryBudget(budget: FleetRetryBudget): Check {
  return {
    guarantee: "repeats stay within the retry budget",
    isTimed: false,
    run: ({ calls, targets }) => {
      const services = [...new Set(targets.map((t) => t.service))];
      const extras = extraArrivals(targets);
      const violations = services.flatMap((service) => {
        const requests = calls.filter((c) => c.service === service).map((c) => c.sentAt);
        const worst = worstWindow(extras.get(service) ?? [], requests, budget);
        return worst && worst.count > worst.allowed ? [toViolation(service, worst)] : [];
      });
      return { count: [...extras.values()].flat().length, violations };
    },
  };
}

interface Window {
  readonly from: number;
  readonly count: number;
  readonly requests: number;
  readonly allowed: number;
}

/** When extras arrived, by service. */
function extraArrivals(targets: readonly TargetRecord[]): Map<string, number[]> {
  // Looks at the document in force have no tag: each is a request of its own.
  const arrivals = targets
    .filter((t) => t.event === "arrived" && t.tag !== "")
    .sort((a, b) => a.at - b.at);
  const seen = new Map<string, number>();
  const extras = new Map<string, number[]>();
  for (const { tag, at, service } of arrivals) {
    const before = seen.get(tag) ?? 0;
    seen.set(tag, before + 1);
    const [parent = ""] = tag.split(NESTED_CALL_SEPARATOR);
    const isOfRepeat = tag !== parent && (seen.get(parent) ?? 0) > 1;
    if (before > 0 || isOfRepeat) {
      extras.set(service, [...(extras.get(service) ?? []), at]);
    }
  }
  return extras;
}

function worstWindow(
  extras: readonly number[],
  requests: readonly CallRecord["sentAt"][],
  { ratio, windowMs, slack }: FleetRetryBudget,
): Window | undefined {
  const within = (list: readonly number[], from: number) =>
    list.filter((at) => from <= at && at < from + windowMs).length;
  const windows = extras.map((from) => {
    // Requests of the window before count where there were more: extras may lag behind them.
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
