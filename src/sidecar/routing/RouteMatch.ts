import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";

/** The service and request kind a caller's request falls under. */
export interface RouteMatch {
  readonly service: OperatorDocument["services"][number];
  /** The request kind's name, or `unknown` when none matched. */
  readonly kind: string;
  /** False for unknown kinds: a request we cannot classify is never retried blindly. */
  readonly idempotent: boolean;
}
