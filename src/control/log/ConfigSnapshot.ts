import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";

/** The document as of one log entry, with the most recently accepted change requests. */
export interface ConfigSnapshot {
  readonly version: number;
  readonly document: OperatorDocument;
  /** Ids of accepted change requests and the versions that they created, oldest first. */
  readonly accepted: readonly (readonly [orderId: string, version: number])[];
}
