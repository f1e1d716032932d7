import type { TargetId } from "../../common/ids/TargetId.ts";
import type { RotationCandidate } from "./RotationCandidate.ts";

/**
 * Chooses the targets that receive requests: every ready target except the gray
 * ones, ejected from the worst on while the remaining slots stay at or above
 * `floor`. Guards against ejecting most of a service: when most targets look
 * gray (overload, a bad release, a false detection), the least bad keep
 * serving. Computed from scratch each time, so the floor also holds after
 * targets leave: an ejected target is readmitted when its capacity is needed.
 *
 * @param floor minimum capacity in rotation, as a fraction of all announced slots
 */
export function chooseRotation(
  candidates: readonly RotationCandidate[],
  floor: number,
): Set<TargetId> {
  const needed = floor * candidates.reduce((sum, c) => sum + c.slots, 0);
  const ready = candidates.filter((c) => c.ready);
  const rotation = new Set(ready.map((c) => c.id));
  let slots = ready.reduce((sum, c) => sum + c.slots, 0);
  const worstFirst = ready.filter((c) => c.isGray).sort((a, b) => b.risk - a.risk);
  for (const c of worstFirst) {
    if (slots - c.slots >= needed && rotation.size > 1) {
      rotation.delete(c.id);
      slots -= c.slots;
    }
  }
  return rotation;
}
