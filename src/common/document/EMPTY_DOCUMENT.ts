import { Limits } from "./Limits.ts";
import type { OperatorDocument } from "./OperatorDocument.ts";

/** The document of version 0, before any was accepted. */
export const EMPTY_DOCUMENT: OperatorDocument = {
  services: [],
  routes: [],
  limits: Limits.parse({}),
};
