import type { HopSpan, Tracing } from "./Tracing.ts";

const NO_SPAN: HopSpan = {
  headers: {},
  child: () => NO_SPAN,
  end: () => undefined,
};

/** Traces nothing; a caller's own trace context passes through untouched. */
export const noTracing: Tracing = { begin: () => NO_SPAN };
