import type { IncomingHttpHeaders } from "node:http";
import {
  ROOT_CONTEXT,
  SpanKind,
  SpanStatusCode,
  defaultTextMapGetter,
  defaultTextMapSetter,
  trace,
  type Context,
  type Tracer,
} from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { BasicTracerProvider, SimpleSpanProcessor } from "@opentelemetry/sdk-trace-base";
import { JsonLinesSpanExporter } from "./JsonLinesSpanExporter.ts";
import type { HopSpan, Tracing } from "./Tracing.ts";

/** Propagates the trace context between hops in the W3C `traceparent` header. */
const propagator = new W3CTraceContextPropagator();

/** Writes OpenTelemetry spans to a file as JSON lines. */
export class FileTracing implements Tracing {
  readonly #tracer: Tracer;

  constructor(name: string, file: string) {
    const spanProcessors = [new SimpleSpanProcessor(new JsonLinesSpanExporter(file))];
    this.#tracer = new BasicTracerProvider({ spanProcessors }).getTracer(name);
  }

  startSpan(name: string, headers: IncomingHttpHeaders): HopSpan {
    const parent = propagator.extract(ROOT_CONTEXT, headers, defaultTextMapGetter);
    return this.#start(name, SpanKind.SERVER, parent);
  }

  #start(name: string, kind: SpanKind, parent: Context): HopSpan {
    const span = this.#tracer.startSpan(name, { kind }, parent);
    const ctx = trace.setSpan(parent, span);
    const headers: Record<string, string> = {};
    propagator.inject(ctx, headers, defaultTextMapSetter);
    return {
      headers,
      startChild: (childName) => this.#start(childName, SpanKind.CLIENT, ctx),
      end: (verdict, isSuccess) => {
        span.setAttribute("burdockpass.verdict", verdict);
        span.setStatus({ code: isSuccess ? SpanStatusCode.OK : SpanStatusCode.ERROR });
        span.end();
      },
    };
  }
}
