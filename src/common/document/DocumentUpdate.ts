import type { DocumentEdit } from "./DocumentEdit.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/** A version of the document as it travels: whole, or as what changed since the version before. */
export type DocumentUpdate =
  | { readonly kind: "whole"; readonly version: number; readonly document: OperatorDocument }
  | {
      readonly kind: "edit";
      /** The version that `edit` builds on. */
      readonly base: number;
      readonly version: number;
      readonly edit: DocumentEdit;
    };
