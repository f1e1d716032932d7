import { appendFileSync } from "node:fs";
import { ExportResultCode, hrTimeToMicroseconds, type ExportResult } from "@opentelemetry/core";
import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";

/**
 * Writes finished spans to a file as JSON lines, so that tracing needs no external
 * collector. Each span is one line: trace and span ids, parent, name, times (µs),
 * attributes and status.
 */
export class JsonLinesSpanExporter implements SpanExporter {
  readonly #path: string;

  constructor(path: string) {
    this.#path = path;
  }

  export(spans: ReadableSpan[], done: (result: ExportResult) => void): void {
    const lines = spans.map((span) => JSON.stringify(toRecord(span))).join("\n");
    appendFileSync(this.#path, lines + "\n");
    done({ code: ExportResultCode.SUCCESS });
  }

  async shutdown(): Promise<void> {
    // Nothing is buffered: every export is written before it returns.
  }
}

function toRecord(span: ReadableSpan): Record<string, unknown> {
  const ctx = span.spanContext();
  return {
    traceId: ctx.traceId,
    spanId: ctx.spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    name: span.name,
    kind: span.kind,
    startUs: hrTimeToMicroseconds(span.startTime),
    durationUs: hrTimeToMicroseconds(span.duration),
    attributes: span.attributes,
    status: span.status.code,
  };
}
