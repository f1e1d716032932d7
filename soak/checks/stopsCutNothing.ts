import type { CallRecord, History, StopRecord } from "../History.ts";
import type { Check, Finding } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** A request that was on its way when the process closed its connection was not taken, ms. */
const ON_ITS_WAY_MS = 200;

/** A planned stop cuts no request in flight. */
export const stopsCutNothing: Check = {
  promise: "a planned stop cuts nothing",
  isTimed: false,
  run: (history) => {
    const findings = history.stops.flatMap((stop) => cutBy(stop, history));
    return { count: history.stops.length, findings };
  },
};

/** Requests that a sidecar had taken when it was told to stop, or after, and that got no answer. */
function cutBy(stop: StopRecord, { calls, disturbances }: History): Finding[] {
  const isCut = (c: CallRecord) =>
    c.via === stop.on &&
    c.status === 0 &&
    c.sentAt < stop.endedAt &&
    c.endedAt > stop.at &&
    (c.hadBegun || c.endedAt - c.sentAt > ON_ITS_WAY_MS) &&
    !isDisturbed(disturbances, stop.on, c.sentAt, c.endedAt);
  return calls.filter(isCut).map((c) => ({
    at: c.endedAt,
    what: `${c.tag}, sent to ${stop.on} ${Math.round(c.sentAt - stop.at)} ms after its SIGTERM, got no answer`,
  }));
}
