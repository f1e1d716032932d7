import type { UseRecord } from "../History.ts";
import type { Check, Finding } from "./Check.ts";

/** A sidecar's memory on the users' VMs, MB, and the descriptors that a process may have open. */
const MOST_RSS_MB = 350;
const MOST_DESCRIPTORS = 2000;

/** Processes stay within what a VM gives them. */
export const nothingLeaks: Check = {
  promise: "no process outgrows its VM",
  isTimed: false,
  run: ({ uses }) => ({
    count: uses.length,
    findings: uses
      .filter((u) => u.rssMb > MOST_RSS_MB || u.descriptors > MOST_DESCRIPTORS)
      .map(toFinding)
      .slice(0, 3),
  }),
};

function toFinding({ at, name, rssMb, descriptors }: UseRecord): Finding {
  return { at, what: `${name} has ${rssMb} MB and ${descriptors} descriptors` };
}
