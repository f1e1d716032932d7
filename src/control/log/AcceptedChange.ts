import type { DocumentEdit } from "../../common/document/DocumentEdit.ts";

/** A change to the configuration document, proposed to the replicas or committed by them. */
export interface AcceptedChange {
  /** Document version after the change; chosen by the operator, greater than the previous version. */
  readonly version: number;
  /** Id of the operator's change request, by which a resend is recognized. */
  readonly orderId: string;
  readonly edit: DocumentEdit;
}
