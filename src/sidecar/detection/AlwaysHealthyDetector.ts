import type { HealthDetector } from "./HealthDetector.ts";

/** Reports every target as healthy. Part of the baseline for comparisons with other policies; not for production traffic. */
export const AlwaysHealthyDetector: HealthDetector = {
  risk: 0,
  pace: 1,
  isSuspect: false,
  isEjected: false,
  probeInMs: () => undefined,
  admits: () => true,
  recordOutcome: () => undefined,
  recordOverdue: () => undefined,
};
