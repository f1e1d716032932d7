import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";

/** The document as of one entry of the log, with what is remembered of the orders that made it. */
export interface ConfigSnapshot {
  readonly version: number;
  readonly document: OperatorDocument;
  /** Accepted orders and the versions that they became, oldest first. */
  readonly accepted: readonly (readonly [orderId: string, version: number])[];
}
