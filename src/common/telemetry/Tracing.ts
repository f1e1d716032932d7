import type { IncomingHttpHeaders } from "node:http";

/** Trace span of one hop of a request, while the hop lasts. */
export interface HopSpan {
  /** Headers that propagate the trace context to the next hop; empty when tracing is off. */
  readonly headers: Readonly<Record<string, string>>;
  /** Starts a child span within this one. */
  startChild(name: string): HopSpan;
  /** Ends the span with the request's verdict; `isSuccess` when a response was received. */
  end(verdict: string, isSuccess: boolean): void;
}

/** Records a trace span for each hop of a request. */
export interface Tracing {
  /** Starts the span of a request that was received with `headers`. */
  startSpan(name: string, headers: IncomingHttpHeaders): HopSpan;
}
