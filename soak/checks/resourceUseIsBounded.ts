import type { ResourceSample } from "../History.ts";
import type { Check, Violation } from "./Check.ts";

/** A sidecar's memory limit on the users' VMs, MB. */
const MAX_RSS_MB = 350;

/** Maximum number of descriptors that a process may have open. */
const MAX_DESCRIPTORS = 2000;

/** Checks that processes stay within the resources that a VM gives them. */
export const resourceUseIsBounded: Check = {
  guarantee: "no process exceeds its VM's resources",
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
