import { scaleLinear } from "d3-scale";
import { line } from "d3-shape";
import type { SoakResult } from "./playSoak.ts";
import { CallKind } from "./SoakPlan.ts";

const SIZE = { width: 960, height: 360 };
const MARGIN = { top: 20, right: 170, bottom: 50, left: 50 };

/** A palette that people with colour vision deficiencies can distinguish (Okabe and Ito, 2008). */
const COLOURS = ["#E69F00", "#56B4E9", "#009E73", "#D55E00", "#CC79A7"];

/** Plots, as an SVG document, the served share of each kind of request by the second of sending, with the faults below. */
export function plotSoak({ plan, history }: SoakResult): string {
  const x = scaleLinear([0, plan.seconds], [MARGIN.left, SIZE.width - MARGIN.right]);
  const y = scaleLinear([0, 1], [SIZE.height - MARGIN.bottom, MARGIN.top]);
  const kinds = Object.values(CallKind);
  const curves = kinds.map((kind, n) => {
    const points = Array.from({ length: plan.seconds }, (_, s) => {
      const sent = history.calls.filter(
        (c) => c.kind === kind && Math.floor(c.sentAt / 1000) === s && c.resendOf === undefined,
      );
      const served = sent.filter((c) => c.status === 200).length;
      return { s, share: sent.length === 0 ? undefined : served / sent.length };
    }).filter((p): p is { s: number; share: number } => p.share !== undefined);
    const path = line<{ s: number; share: number }>(
      (p) => x(p.s),
      (p) => y(p.share),
    )(points);
    return `<path fill="none" stroke="${COLOURS[n] ?? "black"}" d="${path ?? ""}"/>`;
  });
  const faults = plan.faults.map(({ atS, forS }) => {
    const width = Math.max(1, x(atS + forS) - x(atS));
    return `<rect x="${x(atS)}" y="${SIZE.height - MARGIN.bottom + 24}" width="${width}" height="6" fill="#D55E00" opacity="0.25"/>`;
  });
  const ticks = [
    ...x.ticks(10).map((t) => text(x(t), SIZE.height - MARGIN.bottom + 16, `${t} s`)),
    ...y.ticks(5).map((t) => text(MARGIN.left - 30, y(t) + 4, String(t))),
  ];
  const legend = kinds.map((kind, n) =>
    text(SIZE.width - MARGIN.right + 12, MARGIN.top + 16 * (n + 1), kind, COLOURS[n]),
  );
  const body = [...curves, ...faults, ...ticks, ...legend].join("\n");
  return `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${SIZE.width} ${SIZE.height}" font-family="sans-serif" font-size="12">\n${body}\n</svg>\n`;
}

function text(x: number, y: number, content: string, colour = "black"): string {
  return `<text x="${x}" y="${y}" fill="${colour}">${content}</text>`;
}
