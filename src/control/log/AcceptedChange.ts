import type { DocumentEdit } from "../../common/document/DocumentEdit.ts";

/** A change of the document that the replicas have agreed on, or are asked to. */
export interface AcceptedChange {
  /** The version that the document has with it; given by the operator, above the one before. */
  readonly version: number;
  /** Of the operator's order, to know it again when it is sent once more. */
  readonly orderId: string;
  readonly edit: DocumentEdit;
}
