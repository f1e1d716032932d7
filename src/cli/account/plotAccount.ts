import { scaleLinear } from "d3-scale";
import { area, stack } from "d3-shape";
import type { SeriesPoint } from "d3-shape";
import type { AccountedRequest } from "./AccountedRequest.ts";

/** Size of the plot, and margins for its axes and legend, px. */
const SIZE = { width: 960, height: 420 };
const MARGIN = { top: 20, right: 240, bottom: 40, left: 50 };

/** Length of one time step, s. */
const STEP_S = 1;

/** Maximum number of outcomes with an area of their own, those that lost the most; the rest are summed as one. */
const MAX_OUTCOMES_SHOWN = 9;
const OTHERS = "others";

/** Palette that colour-blind readers can distinguish (Okabe and Ito, 2008), and two more. */
const COLOURS = [
  "#E69F00",
  "#56B4E9",
  "#009E73",
  "#F0E442",
  "#0072B2",
  "#D55E00",
  "#CC79A7",
  "#999999",
  "#000000",
  "#DDDDDD",
];

type Row = Readonly<Record<string, number>> & { readonly atS: number };

/** Plots the credit lost over time, stacked by outcome, as an SVG document. */
export function plotAccount(requests: readonly AccountedRequest[]): string {
  const outcomes = costliestOutcomes(requests);
  const rows = lostCreditPerStep(requests, outcomes);
  const layers = stack<Row>().keys(outcomes)(rows);
  const maxLost = Math.max(1, ...layers.flatMap((layer) => layer.map(([, top]) => top)));
  const lastS = Math.max(STEP_S, ...rows.map((r) => r.atS));
  const x = scaleLinear([0, lastS], [MARGIN.left, SIZE.width - MARGIN.right]);
  const y = scaleLinear([0, maxLost], [SIZE.height - MARGIN.bottom, MARGIN.top]);
  const shape = area<SeriesPoint<Row>>()
    .x(({ data }) => x(data.atS))
    .y0(([bottom]) => y(bottom))
    .y1(([, top]) => y(top));
  const paths = layers.map((layer, n) => `<path fill="${colourOf(n)}" d="${shape(layer) ?? ""}"/>`);
  const legend = outcomes.map((outcome, n) => legendEntry(outcome, n));
  const axes = [
    ...x.ticks(10).map((tick) => label(x(tick), SIZE.height - MARGIN.bottom + 18, `${tick} s`)),
    ...y.ticks(6).map((tick) => label(MARGIN.left - 20, y(tick) + 4, String(tick))),
    label(MARGIN.left + 60, 14, "credit lost per second"),
  ];
  const viewBox = `0 0 ${SIZE.width} ${SIZE.height}`;
  const body = [...paths, ...axes, ...legend].join("\n");
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="${viewBox}" font-family="sans-serif" font-size="12">\n${body}\n</svg>\n`;
}

function costliestOutcomes(requests: readonly AccountedRequest[]): string[] {
  const costs = new Map<string, number>();
  for (const { fate, lost } of requests.filter((r) => r.lost > 0)) {
    costs.set(fate, (costs.get(fate) ?? 0) + lost);
  }
  const sorted = [...costs].sort(([, a], [, b]) => b - a).map(([fate]) => fate);
  const shown = sorted.slice(0, MAX_OUTCOMES_SHOWN);
  return sorted.length > shown.length ? [...shown, OTHERS] : shown;
}

function lostCreditPerStep(
  requests: readonly AccountedRequest[],
  outcomes: readonly string[],
): Row[] {
  const lastStep = Math.max(0, ...requests.map((r) => Math.floor(r.atS / STEP_S)));
  const rows = Array.from({ length: lastStep + 1 }, (_, n) => ({
    ...Object.fromEntries(outcomes.map((outcome) => [outcome, 0])),
    atS: n * STEP_S,
  })) as (Record<string, number> & { atS: number })[];
  for (const { atS, fate, lost } of requests) {
    const row = rows[Math.floor(atS / STEP_S)];
    const key = outcomes.includes(fate) ? fate : OTHERS;
    if (row && lost > 0) {
      row[key] = (row[key] ?? 0) + lost;
    }
  }
  return rows;
}

function legendEntry(outcome: string, n: number): string {
  const left = SIZE.width - MARGIN.right + 20;
  const top = MARGIN.top + n * 20;
  const box = `<rect x="${left}" y="${top}" width="12" height="12" fill="${colourOf(n)}"/>`;
  return `${box}<text x="${left + 18}" y="${top + 11}">${outcome}</text>`;
}

function label(x: number, y: number, text: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="middle">${text}</text>`;
}

function colourOf(n: number): string {
  return COLOURS[n % COLOURS.length] ?? "";
}
