import type { Disturbance } from "../History.ts";

/** Something unplanned held the process, or its link or target, at that time. */
export function isDisturbed(
  disturbances: readonly Disturbance[],
  on: string,
  from: number,
  until: number,
): boolean {
  return disturbances.some((d) => d.on === on && d.from < until && from < d.until);
}
