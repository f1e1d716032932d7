import type { History, SlowRead } from "../History.ts";
import type { Check } from "./Check.ts";
import { isDisturbed } from "./isDisturbed.ts";

/** Names of the VMs whose targets send the responses begin with this. */
const SERVICE = "ledger";

/** Kinds of the disturbances that concern only a VM's target begin with this. */
const TARGET_KIND = "target-";

/** Checks that a response which has begun is not cut off because its caller reads slowly. */
export const slowReadersAreServed: Check = {
  guarantee: "a caller that reads slowly gets its whole response",
  isTimed: false,
  run: (history) => {
    const begun = history.slowReads.filter((r) => r.status === 200);
    return {
      count: begun.length,
      violations: begun
        .filter((r) => !r.isWhole && !isExplained(r, history))
        .map(({ via, from, until }) => ({
          at: until,
          what: `a response read slowly through ${via} was cut off after ${Math.round(until - from)} ms`,
        })),
    };
  },
};

/** Whether the reader's sidecar, or any that may have sent the response, was disturbed or stopped meanwhile. */
function isExplained({ via, from, until }: SlowRead, { disturbances, stops }: History): boolean {
  const mayConcern = (on: string) => on === via || on.startsWith(SERVICE);
  const concerning = disturbances.filter(
    ({ on, kind }) => mayConcern(on) && (on.startsWith(SERVICE) || !kind.startsWith(TARGET_KIND)),
  );
  return (
    concerning.some((d) => isDisturbed([d], d.on, from, until)) ||
    stops.some((s) => mayConcern(s.on) && s.at < until && from < s.endedAt)
  );
}
