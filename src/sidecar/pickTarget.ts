import type { TargetId } from "../common/TargetId.ts";
import type { TargetInfo } from "./TargetInfo.ts";

/**
 * Picks a target by the power of two random choices over outstanding
 * requests as a share of slots (Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing", 2001). Targets at or over their slots are
 * skipped while any has room. `random` gives [0, 1); tests pass a seeded one.
 * Returns undefined when `candidates` is empty.
 */
export function pickTarget(
  candidates: readonly TargetInfo[],
  outstanding: (id: TargetId) => number,
  random: () => number,
): TargetInfo | undefined {
  const withRoom = candidates.filter((t) => outstanding(t.id) < t.slots);
  const pool = withRoom.length > 0 ? withRoom : candidates;
  if (pool.length <= 1) {
    return pool[0];
  }
  const a = pool[Math.floor(random() * pool.length)];
  const b = pool[Math.floor(random() * pool.length)];
  if (!a || !b) {
    return a ?? b;
  }
  return load(b, outstanding) < load(a, outstanding) ? b : a;
}

function load(t: TargetInfo, outstanding: (id: TargetId) => number): number {
  return outstanding(t.id) / t.slots;
}
