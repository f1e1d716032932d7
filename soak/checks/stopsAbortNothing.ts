import type { CallRecord, History, StopRecord } from "../History.ts";
import type { Check, Violation } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** A request that gets no response within this time may have been in transit when the process closed the connection, ms. */
const IN_TRANSIT_MS = 200;

/** Checks that a planned stop aborts no request in flight. */
export const stopsAbortNothing: Check = {
  guarantee: "a planned stop aborts no request",
  isTimed: false,
  run: (history) => {
    const violations = history.stops.flatMap((stop) => abortedBy(stop, history));
    return { count: history.stops.length, violations };
  },
};

/** Requests that a sidecar had accepted before or during its stop and that got no response. */
function abortedBy(stop: StopRecord, { calls, disturbances }: History): Violation[] {
  const isAborted = (c: CallRecord) =>
    c.via === stop.on &&
    c.status === 0 &&
    c.sentAt < stop.endedAt &&
    c.endedAt > stop.at &&
    (c.hadBegun || c.endedAt - c.sentAt > IN_TRANSIT_MS) &&
    !isDisturbed(disturbances, stop.on, c.sentAt, c.endedAt);
  return calls.filter(isAborted).map((c) => ({
    at: c.endedAt,
    what: `${c.tag}, sent to ${stop.on} ${Math.round(c.sentAt - stop.at)} ms after its SIGTERM, got no response`,
  }));
}
