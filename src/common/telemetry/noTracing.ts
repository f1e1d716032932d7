import type { HopSpan, Tracing } from "./Tracing.ts";

const NO_SPAN: HopSpan = {
  headers: {},
  startChild: () => NO_SPAN,
  end: () => undefined,
};

/** Records nothing; the caller's trace context is forwarded unchanged. */
export const noTracing: Tracing = { startSpan: () => NO_SPAN };
