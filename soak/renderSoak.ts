import { CallKind } from "./SoakPlan.ts";
import type { CallRecord, ResourceSample } from "./History.ts";
import type { SoakResult } from "./playSoak.ts";

/** Findings of one guarantee that are shown, at most. */
const MAX_SHOWN = 5;

/** The report of a run: the schedule, what callers got, the promises, and what processes used. */
export function renderSoak({ plan, history, results, dir }: SoakResult): string {
  const { seed, seconds, services, controls, zones } = plan;
  const shape = services.map((s) => `${s.targets} ${s.name} of ${s.slots} slots, ${s.workMs} ms`);
  const kinds = countBy(plan.faults, (f) => f.kind);
  const lines = [
    `seed ${seed}, ${seconds} s: ${shape.join("; ")}; ${controls} control replicas, ${zones} zones`,
    `faults: ${[...kinds].map(([kind, n]) => `${n} ${kind}`).join(", ")}`,
    `what callers got:`,
    ...Object.values(CallKind).map((kind) => `  ${summarizeCalls(history.calls, kind)}`),
    `promises:`,
    ...results.flatMap(({ guarantee, count, violations }) => [
      `  ${violations.length === 0 ? "held  " : "BROKEN"} ${guarantee} (${count} looks)`,
      ...violations.slice(0, MAX_SHOWN).map((f) => `    ${toSeconds(f.at)} s  ${f.what}`),
      ...(violations.length > MAX_SHOWN ? [`    and ${violations.length - MAX_SHOWN} more`] : []),
    ]),
    `use: ${summarizeResources(history.uses)}`,
    `logs and journals: ${dir}`,
  ];
  return `${lines.join("\n")}\n`;
}

/** Whether every guarantee was kept. */
export function allHeld({ results }: Pick<SoakResult, "results">): boolean {
  return results.every((c) => c.violations.length === 0);
}

function summarizeCalls(calls: readonly CallRecord[], kind: CallKind): string {
  const own = calls.filter((c) => c.kind === kind && c.resendOf === undefined);
  const served = own.filter((c) => c.status === 200).length;
  const verdicts = countBy(
    own.filter((c) => c.status !== 200),
    (c) => (c.verdict === "" ? `status ${c.status}` : `${c.verdict} ${c.status}`),
  );
  const others = [...verdicts].map(([what, n]) => `${n} ${what}`).join(", ");
  return `${kind}: ${own.length} sent, ${served} served${others === "" ? "" : `; ${others}`}`;
}

/** Memory and descriptors at their most, and how memory grew from the second quarter of the run to the last. */
function summarizeResources(uses: readonly ResourceSample[]): string {
  const most = (pick: (u: ResourceSample) => number) => Math.max(0, ...uses.map(pick));
  const end = most((u) => u.at);
  const mean = (from: number, to: number) => {
    const part = uses.filter((u) => u.at >= from * end && u.at < to * end);
    return part.reduce((sum, u) => sum + u.rssMb, 0) / Math.max(1, part.length);
  };
  const grewMb = Math.round(mean(0.75, 1) - mean(0.25, 0.5));
  return `at most ${most((u) => u.rssMb)} MB and ${most((u) => u.descriptors)} descriptors a process; memory grew by ${grewMb} MB on average`;
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
