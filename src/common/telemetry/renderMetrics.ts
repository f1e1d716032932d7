import type { Registry } from "prom-client";

/** prom-client's name for the metric type; its type declarations have an enum for it that the module does not export. */
const HISTOGRAM = "histogram";

/**
 * Renders a registry's metrics in the Prometheus text format, histograms last. A histogram has a dozen lines for
 * each set of labels; if a reader truncates the text, the counters of decisions are still included.
 */
export async function renderMetrics(registry: Registry): Promise<string> {
  const all = await registry.getMetricsAsJSON();
  const isHistogram = ({ type }: { type: unknown }) => type === HISTOGRAM;
  const sorted = [...all.filter((m) => !isHistogram(m)), ...all.filter(isHistogram)];
  const texts = await Promise.all(sorted.map((m) => registry.getSingleMetricAsString(m.name)));
  return `${texts.join("\n\n")}\n`;
}
