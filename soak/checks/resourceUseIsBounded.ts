import type { ResourceSample } from "../History.ts";
import type { Check, Violation } from "./Check.ts";

/** A sidecar's memory on the users' VMs, MB, and the descriptors that a process may have open. */
const MAX_RSS_MB = 350;
const MAX_DESCRIPTORS = 2000;

/** Processes stay within what a VM gives them. */
export const resourceUseIsBounded: Check = {
  guarantee: "no process outgrows its VM",
  isTimed: false,
  run: ({ uses }) => ({
    count: uses.length,
    violations: uses
      .filter((u) => u.rssMb > MAX_RSS_MB || u.descriptors > MAX_DESCRIPTORS)
      .map(toViolation)
      .slice(0, 3),
  }),
};

function toViolation({ at, name, rssMb, descriptors }: ResourceSample): Violation {
  return { at, what: `${name} has ${rssMb} MB and ${descriptors} descriptors` };
}
