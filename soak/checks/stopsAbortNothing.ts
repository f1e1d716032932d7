import type { CallRecord, History, StopRecord } from "../History.ts";
import type { Check, Violation } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** A request that was on its way when the process closed its connection was not taken, ms. */
const IN_TRANSIT_MS = 200;

/** A planned stop cuts no request in flight. */
export const stopsAbortNothing: Check = {
  guarantee: "a planned stop cuts nothing",
  isTimed: false,
  run: (history) => {
    const violations = history.stops.flatMap((stop) => abortedBy(stop, history));
    return { count: history.stops.length, violations };
  },
};

/** Requests that a sidecar had taken when it was told to stop, or after, and that got no answer. */
function abortedBy(stop: StopRecord, { calls, disturbances }: History): Violation[] {
  const isCut = (c: CallRecord) =>
    c.via === stop.on &&
    c.status === 0 &&
    c.sentAt < stop.endedAt &&
    c.endedAt > stop.at &&
    (c.hadBegun || c.endedAt - c.sentAt > IN_TRANSIT_MS) &&
    !isDisturbed(disturbances, stop.on, c.sentAt, c.endedAt);
  return calls.filter(isCut).map((c) => ({
    at: c.endedAt,
    what: `${c.tag}, sent to ${stop.on} ${Math.round(c.sentAt - stop.at)} ms after its SIGTERM, got no answer`,
  }));
}
