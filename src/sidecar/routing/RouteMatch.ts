import type { Service } from "../../common/document/Service.ts";

/** How one request is to be served, by the document. */
export interface RouteMatch {
  /** Names the route in logs and figures; requests of one name are alike. */
  readonly name: string;
  readonly service: Service;
  readonly idempotent: boolean;
  /** Large bodies or answers: kept in the availability zone where possible. */
  readonly bulk: boolean;
  /** The longest that the caller is kept waiting, ms. */
  readonly timeoutMs: number;
  /** Targets to which it may be sent, the first included. */
  readonly attempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** An answer within this time is as good as any, ms. */
  readonly objectiveMs: number;
  /** Retries of the service may add this fraction of first tries; undefined for the sidecar's setting. */
  readonly budgetRatio: number | undefined;
}
