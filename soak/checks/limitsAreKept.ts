import type { History, LimitRecord } from "../History.ts";
import { NESTED_CALL_SEPARATOR } from "../NESTED_CALL_SEPARATOR.ts";
import type { Check, Violation } from "./Check.ts";
import { firstToldAt } from "./firstToldAt.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** The users' bound: from 3 s after a target named its limit on, any 4 s hold 1.5 times the limit and 5 requests more. */
const IN_FORCE_AFTER_MS = 3000;
const WINDOW_MS = 4000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_EXTRA = 5;

/** Requests of a sidecar count from this time on after it has returned a response that names the limit, ms. */
const TOLD_FOR_MS = 500;

/** Checks that sidecars that were told of a target's limit keep to it together. */
export const limitsAreKept: Check = {
  guarantee: "a target gets no more requests than the limit that it names",
  isTimed: false,
  run: (history) => ({
    count: history.limits.length,
    violations: history.limits.flatMap((limit) => violationsOf(history, limit)),
  }),
};

function violationsOf(history: History, limit: LimitRecord): Violation[] {
  const { target, perS, from } = limit;
  const allowed = TOLERATED_FACTOR * perS * (WINDOW_MS / 1000) + TOLERATED_EXTRA;
  const times = countedArrivals(history, limit).filter((at) => at >= from + IN_FORCE_AFTER_MS);
  return times.flatMap((start) => {
    const got = times.filter((at) => start <= at && at < start + WINDOW_MS).length;
    return got > allowed
      ? [{ at: start, what: `${target} got ${got} requests in 4 s, allowed ${allowed}` }]
      : [];
  });
}

/** Times of the arrivals that count while the limit is named; a target that has restarted names none. */
function countedArrivals(history: History, { target, from, until }: LimitRecord): number[] {
  const { calls, targets, disturbances } = history;
  const told = firstToldAt(history, target, from);
  const viaOf = new Map(calls.map((c) => [c.tag, c.via]));
  return targets
    .filter((r) => r.target === target && r.event === "arrived" && from <= r.at && r.at < until)
    .filter(({ tag, at }) => {
      const via = viaOf.get(tag) ?? vmOfNestedCall(history, tag);
      const toldAt = told.get(via) ?? Infinity;
      return at >= toldAt + TOLD_FOR_MS && !isDisturbed(disturbances, via, toldAt, at);
    })
    .map((r) => r.at);
}

/** The VM of the target that made a nested call; empty if it is unknown. */
function vmOfNestedCall({ targets }: History, tag: string): string {
  const [parent = ""] = tag.split(NESTED_CALL_SEPARATOR);
  return targets.find((r) => r.tag === parent && r.event === "ran")?.target ?? "";
}
