import type { History } from "../History.ts";
import { movedService } from "../soakDocument.ts";
import type { Check, Violation } from "./Check.ts";

/** Events less than this far apart may have been observed in either order, ms. */
const RACE_MS = 250;

/**
 * Checks that after a blackout nothing is handled by a version older than the one accepted before it, in contact or not:
 * every process has started after that, and has to find out the current version before it acts on any.
 */
export const nothingOlderAfterBlackouts: Check = {
  guarantee: "after a blackout no request is handled by a version older than the accepted one",
  isTimed: false,
  run: (history) => {
    const looks = [
      ...history.configLooks.map(({ at, via, version, isThere }) => ({
        at,
        via,
        what: `version ${version} is ${isThere ? "" : "not "}in force`,
        isOlder: (from: number) =>
          isThere ? version < from : isMissing(history, at, version, from),
      })),
      ...history.movedLooks.map(({ at, via, service }) => ({
        at,
        via,
        what: `the moved route belongs to ${service}`,
        isOlder: (from: number) => !possibleServices(history, at, from).has(service),
      })),
    ];
    const after = looks.flatMap((look) => {
      const last = history.blackouts.findLast((b) => b.at < look.at);
      return last ? [{ ...look, last }] : [];
    });
    const violations: Violation[] = after
      .filter(({ isOlder, last }) => isOlder(last.version))
      .map(({ at, via, what, last }) => ({
        at,
        what: `${what} at ${via}, after version ${last.version} and a blackout`,
      }));
    return { count: after.length, violations };
  },
};

/** Whether the route of version `version`, the one accepted before the blackout, is missing without a newer change. */
function isMissing(history: History, at: number, version: number, accepted: number): boolean {
  return version === accepted && newerChanges(history, at, accepted).length === 0;
}

/** The services that the moved route may belong to: that of the accepted version, and of changes sent since. */
function possibleServices(history: History, at: number, accepted: number): Set<string> {
  const current = history.configs.filter((c) => c.version === accepted);
  const changes = [...current, ...newerChanges(history, at, accepted)];
  return new Set(changes.map((c) => movedService(c.change)));
}

/** Changes that may have replaced the accepted version by `at`; one without a known outcome may be newer. */
function newerChanges({ configs }: History, at: number, accepted: number) {
  return configs.filter(
    (c) => (c.version > accepted || c.outcome === "unknown") && c.sentAt <= at + RACE_MS,
  );
}
