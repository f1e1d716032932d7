import type { Disturbance, StopRecord } from "../History.ts";
import type { Check, Violation } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** Grace period of a planned stop, ms, which the soak run's fleet is configured with. */
export const STOP_GRACE_MS = 6000;

/** Extra time allowed for delays of the machine, ms. */
const STOP_SLACK_MS = 1000;

/** Checks that a planned stop ends within its grace period, with exit code 0. */
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
  const durationMs = Math.round(stop.endedAt - stop.at);
  if (stop.code === 0 && durationMs <= STOP_GRACE_MS + STOP_SLACK_MS) {
    return [];
  }
  return [
    { at: stop.endedAt, what: `${stop.on} ended with ${String(stop.code)} after ${durationMs} ms` },
  ];
}
