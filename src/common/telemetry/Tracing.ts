import type { IncomingHttpHeaders } from "node:http";

/** One hop of a request, while it lasts. */
export interface HopSpan {
  /** Headers that carry the trace on to the next hop; none where nothing is traced. */
  readonly headers: Readonly<Record<string, string>>;
  /** Starts a hop within this one. */
  child(name: string): HopSpan;
  /** Ends the hop with the verdict that it led to; `isGood` when that is an answer. */
  end(verdict: string, isGood: boolean): void;
}

/** Traces with a span for each hop of a request. */
export interface Tracing {
  /** Starts the hop of a request that came with `headers`. */
  begin(name: string, headers: IncomingHttpHeaders): HopSpan;
}
