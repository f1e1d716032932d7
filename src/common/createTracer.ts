import type { Tracer } from "@opentelemetry/api";
import { BasicTracerProvider, BatchSpanProcessor } from "@opentelemetry/sdk-trace-base";
import type { IDisposable } from "./IDisposable.ts";
import { JsonLinesSpanExporter } from "./JsonLinesSpanExporter.ts";

/** Spans are written at most this often, ms: never on the request path itself. */
const EXPORT_DELAY_MS = 500;

/**
 * A tracer for one process. With a file, finished spans are batched and
 * written there as JSON lines; with none, spans are created (so context
 * still propagates) but not exported. Disposing it flushes what is queued.
 */
export function createTracer(
  name: string,
  file: string | undefined,
): { tracer: Tracer } & IDisposable {
  const spanProcessors = file
    ? [
        new BatchSpanProcessor(new JsonLinesSpanExporter(file), {
          scheduledDelayMillis: EXPORT_DELAY_MS,
        }),
      ]
    : [];
  const provider = new BasicTracerProvider({ spanProcessors });
  return { tracer: provider.getTracer(name), dispose: () => provider.shutdown() };
}
