import { CallKind } from "./SoakPlan.ts";
import type { CallRecord, ResourceSample } from "./History.ts";
import type { SoakResult } from "./playSoak.ts";

/** Maximum number of violations shown for one guarantee. */
const MAX_SHOWN = 5;

/** Renders the report of a soak run: the schedule, the callers' outcomes, the guarantees, and the resource use. */
export function renderSoak({ plan, history, results, dir }: SoakResult): string {
  const { seed, seconds, services, controls, zones } = plan;
  const shape = services.map((s) => `${s.targets} ${s.name} of ${s.slots} slots, ${s.workMs} ms`);
  const kinds = countBy(plan.faults, (f) => f.kind);
  const lines = [
    `seed ${seed}, ${seconds} s: ${shape.join("; ")}; ${controls} control replicas, ${zones} zones`,
    `faults: ${[...kinds].map(([kind, n]) => `${n} ${kind}`).join(", ")}`,
    `outcomes for callers:`,
    ...Object.values(CallKind).map((kind) => `  ${summarizeCalls(history.calls, kind)}`),
    `guarantees:`,
    ...results.flatMap(({ guarantee, count, violations }) => [
      `  ${violations.length === 0 ? "held    " : "VIOLATED"} ${guarantee} (${count} checked)`,
      ...violations.slice(0, MAX_SHOWN).map((f) => `    ${toSeconds(f.at)} s  ${f.what}`),
      ...(violations.length > MAX_SHOWN ? [`    and ${violations.length - MAX_SHOWN} more`] : []),
    ]),
    `resource use: ${summarizeResources(history.uses)}`,
    `logs and journals: ${dir}`,
  ];
  return `${lines.join("\n")}\n`;
}

/** Whether no guarantee was violated. */
export function allHeld({ results }: Pick<SoakResult, "results">): boolean {
  return results.every((c) => c.violations.length === 0);
}

/** Counts of sent and served requests of one kind, and the outcomes of the others; resends are left out. */
function summarizeCalls(calls: readonly CallRecord[], kind: CallKind): string {
  const firstSends = calls.filter((c) => c.kind === kind && c.resendOf === undefined);
  const served = firstSends.filter((c) => c.status === 200).length;
  const verdicts = countBy(
    firstSends.filter((c) => c.status !== 200),
    (c) => (c.verdict === "" ? `status ${c.status}` : `${c.verdict} ${c.status}`),
  );
  const unserved = [...verdicts].map(([what, n]) => `${n} ${what}`).join(", ");
  return `${kind}: ${firstSends.length} sent, ${served} served${unserved === "" ? "" : `; ${unserved}`}`;
}

/** Peak memory and descriptors of a process, and the growth of mean memory from the second quarter of the run to the last. */
function summarizeResources(uses: readonly ResourceSample[]): string {
  const peak = (pick: (u: ResourceSample) => number) => Math.max(0, ...uses.map(pick));
  const end = peak((u) => u.at);
  const mean = (from: number, to: number) => {
    const part = uses.filter((u) => u.at >= from * end && u.at < to * end);
    return part.reduce((sum, u) => sum + u.rssMb, 0) / Math.max(1, part.length);
  };
  const growthMb = Math.round(mean(0.75, 1) - mean(0.25, 0.5));
  return `at most ${peak((u) => u.rssMb)} MB and ${peak((u) => u.descriptors)} descriptors per process; memory grew by ${growthMb} MB on average`;
}

function countBy<T>(items: readonly T[], keyOf: (item: T) => string): Map<string, number> {
  const counts = new Map<string, number>();
  for (const item of items) {
    counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  }
  return counts;
}

function toSeconds(ms: number): string {
  return (ms / 1000).toFixed(1);
}
