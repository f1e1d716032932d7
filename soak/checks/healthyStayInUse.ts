import type { History } from "../History.ts";
import type { Check, Violation } from "./Check.ts";

/** Share of a service's sound targets that go on getting work where too little of it is served: the users' bound. */
const FLOOR_SHARE = 0.7;

/** Windows of this length are looked at, this far apart, ms. */
const WINDOW_MS = 2000;
const STEP_MS = 500;

/** A target is sound once nothing has held it, its sidecar or its links for so long, ms: twice the users' contact window. */
const HEALTHY_AFTER_MS = 6000;

/** Too little is served where more than the first share is not, but under the second. */
const UNSERVED_SHARE = { from: 0.1, to: 0.5 };

/** Requests in a window without which it says nothing. */
const MIN_REQUESTS = 20;

/** Ejection, shedding and stops leave enough of each service's sound targets in use. */
export const healthyStayInUse: Check = {
  guarantee: "sound targets stay in use where too little is served",
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
            what: `${service}: ${Math.round(share * 100)} of 100 sound targets in use`,
          });
        }
      }
    }
    return { count, violations };
  },
};

/** Share of the sound targets that get work in the window; undefined where enough is served, or too little to tell. */
function shareInUse({ calls, targets, disturbances }: History, service: string, from: number) {
  const until = from + WINDOW_MS;
  const sent = calls.filter((c) => c.service === service && from <= c.sentAt && c.sentAt < until);
  const unserved = sent.filter((c) => c.status !== 200).length / Math.max(1, sent.length);
  const held = new Set(
    disturbances
      .filter((d) => d.from < until && d.until > from - HEALTHY_AFTER_MS)
      .map((d) => d.on),
  );
  const all = new Set(targets.filter((t) => t.service === service).map((t) => t.target));
  const sound = [...all].filter((t) => !held.has(t));
  if (
    sent.length < MIN_REQUESTS ||
    unserved <= UNSERVED_SHARE.from ||
    unserved >= UNSERVED_SHARE.to ||
    sound.length === 0
  ) {
    return undefined;
  }
  const used = new Set(
    targets
      .filter((t) => t.event === "arrived" && from <= t.at && t.at < until)
      .map((t) => t.target),
  );
  return sound.filter((t) => used.has(t)).length / sound.length;
}
