import { propagation, type Tracer } from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { BasicTracerProvider, SimpleSpanProcessor } from "@opentelemetry/sdk-trace-base";
import { JsonLinesSpanExporter } from "./JsonLinesSpanExporter.ts";

/**
 * A tracer for one process. With a file, spans go there as JSON lines; with
 * none, spans are created (so context still propagates) but not exported. Trace
 * context crosses hops in the W3C `traceparent` header.
 */
export function createTracer(name: string, file: string | undefined): Tracer {
  // Without a propagator the API's inject and extract do nothing, and each hop
  // would start a trace of its own.
  propagation.setGlobalPropagator(new W3CTraceContextPropagator());
  const spanProcessors = file ? [new SimpleSpanProcessor(new JsonLinesSpanExporter(file))] : [];
  const provider = new BasicTracerProvider({ spanProcessors });
  return provider.getTracer(name);
}
