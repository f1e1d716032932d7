import type { z } from "zod";
import { checkCrossFieldRules, type Violation } from "./checkCrossFieldRules.ts";
import { OperatorDocument } from "./OperatorDocument.ts";

/** The result of {@link validateDocument}: the document, or all problems with it. */
type Validated =
  | { readonly ok: true; readonly doc: OperatorDocument }
  | {
      readonly ok: false;
      readonly issues: readonly z.core.$ZodIssue[];
      readonly violations: readonly Violation[];
    };

/** Validates a parsed document from any source: each field against the schema, and the rules across fields. */
export function validateDocument(raw: unknown): Validated {
  const checked = OperatorDocument.safeParse(raw);
  const violations = typeof raw === "object" && raw !== null ? checkCrossFieldRules(raw) : [];
  if (checked.success && violations.length === 0) {
    return { ok: true, doc: checked.data };
  }
  return { ok: false, issues: checked.success ? [] : checked.error.issues, violations };
}
