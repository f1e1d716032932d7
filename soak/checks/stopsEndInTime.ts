import type { Disturbance, StopRecord } from "../History.ts";
import type { Check, Violation } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** A planned stop ends within its grace, ms; the settings of the soak's fleets. */
export const STOP_GRACE_MS = 6000;

/** What the machine may add to it, ms. */
const STOP_SLACK_MS = 1000;

/** A planned stop ends in its grace, with exit code 0. */
export const stopsEndInTime: Check = {
  guarantee: "a planned stop ends in time",
  isTimed: true,
  run: ({ stops, disturbances }) => ({
    count: stops.length,
    violations: stops.flatMap((stop) => lateViolations(stop, disturbances)),
  }),
};

function lateViolations(stop: StopRecord, disturbances: readonly Disturbance[]): Violation[] {
  if (isDisturbed(disturbances, stop.on, stop.at, stop.endedAt)) {
    return [];
  }
  const tookMs = Math.round(stop.endedAt - stop.at);
  if (stop.code === 0 && tookMs <= STOP_GRACE_MS + STOP_SLACK_MS) {
    return [];
  }
  return [
    { at: stop.endedAt, what: `${stop.on} ended with ${String(stop.code)} after ${tookMs} ms` },
  ];
}
