import type { DocumentEdit } from "./DocumentEdit.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/** A version of the document as it is sent: whole, or as the edit of an earlier version. */
export type DocumentUpdate =
  | { readonly kind: "whole"; readonly version: number; readonly document: OperatorDocument }
  | {
      readonly kind: "edit";
      /** The version that `edit` applies to. */
      readonly base: number;
      readonly version: number;
      readonly edit: DocumentEdit;
    };
