import { Limits } from "./Limits.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/** The document at version 0, before any document has been accepted. */
export const EMPTY_DOCUMENT: OperatorDocument = {
  services: [],
  routes: [],
  limits: Limits.parse({}),
};
