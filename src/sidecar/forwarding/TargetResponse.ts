import type { ForwardResult } from "./ForwardResult.ts";

/** The response of a target to a request, received now or stored earlier. */
export type TargetResponse = Extract<ForwardResult, { verdict: { kind: "done" } }>;
