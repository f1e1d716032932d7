import type { Tracer } from "@opentelemetry/api";
import { BasicTracerProvider, SimpleSpanProcessor } from "@opentelemetry/sdk-trace-base";
import { JsonLinesSpanExporter } from "./JsonLinesSpanExporter.ts";

/**
 * A tracer for one process. With a file, spans go there as JSON lines; with
 * none, spans are created (so context still propagates) but not exported.
 */
export function createTracer(name: string, file: string | undefined): Tracer {
  const spanProcessors = file ? [new SimpleSpanProcessor(new JsonLinesSpanExporter(file))] : [];
  const provider = new BasicTracerProvider({ spanProcessors });
  return provider.getTracer(name);
}
