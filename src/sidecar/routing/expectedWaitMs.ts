import type { GateLoad } from "../hop/GateLoad.ts";

/** Expected wait for a free slot at a target with this load where a request takes `serviceMs`, ms. */
export function expectedWaitMs({ busy, slots, queued }: GateLoad, serviceMs: number): number {
  return busy < slots ? 0 : ((queued / 2 + 1) * serviceMs) / Math.max(1, slots);
}
