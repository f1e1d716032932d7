import type { History } from "../History.ts";
import type { Check, Violation } from "./Check.ts";

/** Minimum share of a service's healthy targets that must get requests while too few requests are served: the users' bound. */
const FLOOR_SHARE = 0.7;

/** Length of a window, ms. */
const WINDOW_MS = 2000;

/** Distance between the starts of successive windows, ms. */
const STEP_MS = 500;

/**
 * A target counts as healthy once it, its sidecar and its links have been undisturbed for this long, ms: twice the
 * users' contact window.
 */
const HEALTHY_AFTER_MS = 6000;

/** Too few requests are served if the unserved share lies between these bounds. */
const UNSERVED_SHARE = { from: 0.1, to: 0.5 };

/** Windows with fewer requests are not evaluated. */
const MIN_REQUESTS = 20;

/** Checks that ejection, shedding and stops leave enough of each service's healthy targets in use. */
export const healthyStayInUse: Check = {
  guarantee: "healthy targets stay in use while too few requests are served",
  isTimed: true,
  run: (history) => {
    const services = [...new Set(history.targets.map((t) => t.service))];
    const violations: Violation[] = [];
    let count = 0;
    for (let from = HEALTHY_AFTER_MS; from + WINDOW_MS <= history.endAt; from += STEP_MS) {
      for (const service of services) {
        const share = shareInUse(history, service, from);
        count += share === undefined ? 0 : 1;
        if (share !== undefined && share < FLOOR_SHARE) {
          violations.push({
            at: from,
            what: `${service}: ${Math.round(share * 100)} of 100 healthy targets in use`,
          });
        }
      }
    }
    return { count, violations };
  },
};

/**
 * Share of the healthy targets that get requests in the window that starts at `from`; undefined if the unserved share
 * is out of its bounds, there are too few requests, or no target is healthy.
 */
function shareInUse({ calls, targets, disturbances }: History, service: string, from: number) {
  const until = from + WINDOW_MS;
  const sent = calls.filter((c) => c.service === service && from <= c.sentAt && c.sentAt < until);
  const unserved = sent.filter((c) => c.status !== 200).length / Math.max(1, sent.length);
  const disturbed = new Set(
    disturbances
      .filter((d) => d.from < until && d.until > from - HEALTHY_AFTER_MS)
      .map((d) => d.on),
  );
  const all = new Set(targets.filter((t) => t.service === service).map((t) => t.target));
  const healthy = [...all].filter((t) => !disturbed.has(t));
  if (
    sent.length < MIN_REQUESTS ||
    unserved <= UNSERVED_SHARE.from ||
    unserved >= UNSERVED_SHARE.to ||
    healthy.length === 0
  ) {
    return undefined;
  }
  const used = new Set(
    targets
      .filter((t) => t.event === "arrived" && from <= t.at && t.at < until)
      .map((t) => t.target),
  );
  return healthy.filter((t) => used.has(t)).length / healthy.length;
}
