import type { HealthDetector } from "./HealthDetector.ts";

/** Thinks well of every target: part of the baseline that ours is measured against, never for real traffic. */
export const AlwaysHealthyDetector: HealthDetector = {
  risk: 0,
  pace: 1,
  isSuspect: false,
  isEjected: false,
  probeInMs: () => undefined,
  admits: () => true,
  note: () => undefined,
  noteOverdue: () => undefined,
};
