import type { Service } from "../../common/document/Service.ts";

/** How the operator document says to serve one request. */
export interface RouteMatch {
  /** Route name in logs and metrics; requests under one name are treated as the same kind. */
  readonly name: string;
  readonly service: Service;
  readonly idempotent: boolean;
  /** Whether request or response bodies are large: such requests stay in the availability zone where possible. */
  readonly bulk: boolean;
  /** Whether requests need no API key although the document has workspaces. */
  readonly isPublic: boolean;
  /** Longest time until the caller gets a final response, ms. */
  readonly timeoutMs: number;
  /** Maximum number of targets to which the request may be sent, including the first. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Latency objective, ms: responding faster than this has no further benefit. */
  readonly objectiveMs: number;
  /** Extra requests allowed to the service per first try; undefined for the sidecar's default. */
  readonly budgetRatio: number | undefined;
}
