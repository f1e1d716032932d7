import type { Registry } from "prom-client";

/** prom-client's name for the type; its types declare an enum that its module does not export. */
const HISTOGRAM = "histogram";

/**
 * A registry's metrics as Prometheus reads them, histograms last. A histogram takes a dozen lines for each
 * set of labels: where a reader takes only so much, they stand before nothing that counts decisions.
 */
export async function renderMetrics(registry: Registry): Promise<string> {
  const all = await registry.getMetricsAsJSON();
  const isHistogram = ({ type }: { type: unknown }) => type === HISTOGRAM;
  const inOrder = [...all.filter((m) => !isHistogram(m)), ...all.filter(isHistogram)];
  const texts = await Promise.all(inOrder.map((m) => registry.getSingleMetricAsString(m.name)));
  return `${texts.join("\n\n")}\n`;
}
