import type { Disturbance } from "../History.ts";

/**
 * Whether a disturbance of the process, its links or its target overlaps the period, ms. A planned stop is a disturbance
 * only from the exit of the process until its restart.
 */
export function isDisturbed(
  disturbances: readonly Disturbance[],
  on: string,
  from: number,
  until: number,
): boolean {
  return disturbances.some((d) => d.on === on && d.from < until && from < d.until);
}
