import type { Judge } from "./Judge.ts";

/** Thinks well of every target: part of the baseline that ours is measured against, never for real traffic. */
export const TrustingJudge: Judge = {
  risk: 0,
  pace: 1,
  isSuspect: false,
  isEjected: false,
  probeInMs: () => undefined,
  admits: () => true,
  note: () => undefined,
  noteOverdue: () => undefined,
};
