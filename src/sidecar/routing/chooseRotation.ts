import type { TargetId } from "../../common/ids/TargetId.ts";
import type { RotationCandidate } from "./RotationCandidate.ts";

/**
 * The targets that get work: every ready one but the gray, worst ejected
 * first, as long as the slots left stay at or above `floor` of all the slots
 * announced. Guards against ejecting a service to death: when most targets
 * look gray (an overload, a bad release, a wrong detector), the least bad keep
 * serving. Computed from scratch each time, so it also holds after targets
 * leave: an ejected one comes back when its capacity is needed.
 */
export function chooseRotation(
  candidates: readonly RotationCandidate[],
  floor: number,
): Set<TargetId> {
  const needed = floor * candidates.reduce((sum, c) => sum + c.slots, 0);
  const ready = candidates.filter((c) => c.ready);
  const rotation = new Set(ready.map((c) => c.id));
  let slots = ready.reduce((sum, c) => sum + c.slots, 0);
  const worstFirst = ready.filter((c) => c.gray).sort((a, b) => b.badness - a.badness);
  for (const c of worstFirst) {
    if (slots - c.slots >= needed && rotation.size > 1) {
      rotation.delete(c.id);
      slots -= c.slots;
    }
  }
  return rotation;
}
