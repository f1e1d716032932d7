import type { History } from "../History.ts";
import type { Check, Violation } from "./Check.ts";
import { firstToldAt } from "./firstToldAt.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** Time after which a sidecar that was told sends a leaving target no new requests, ms: the users' bound. */
const WITHIN_MS = 2000;

/** Checks that sidecars keep to what targets say in their responses: that they are leaving. */
export const leavingGetsNoWork: Check = {
  guarantee:
    "a sidecar that was told in a response that its target leaves sends it nothing new after 2 s",
  isTimed: true,
  run: (history) => ({
    count: history.leavings.length,
    violations: history.leavings.flatMap(({ target, at }) => violationsOf(history, target, at)),
  }),
};

function violationsOf(history: History, target: string, at: number): Violation[] {
  const { calls, targets, disturbances } = history;
  const told = firstToldAt(history, target, at);
  const arrivals = targets.filter((r) => r.target === target && r.event === "arrived");
  const arrivedAt = new Map(arrivals.map((r) => [r.tag, r.at]));
  return calls.flatMap(({ tag, via, sentAt }) => {
    const reachedAt = arrivedAt.get(tag);
    const toldAt = told.get(via) ?? Infinity;
    const isLate = reachedAt !== undefined && sentAt > toldAt + WITHIN_MS;
    return isLate && !isDisturbed(disturbances, via, toldAt, reachedAt)
      ? [{ at: reachedAt, what: `${tag} by ${via} reached ${target}, which leaves` }]
      : [];
  });
}
