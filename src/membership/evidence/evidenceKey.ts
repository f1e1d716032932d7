import type { CrashEvidence } from "./CrashEvidence.ts";

/** Identifies a piece of evidence in the fleet: one crash for each request and target, one clearance for each request. */
export function evidenceKey(evidence: CrashEvidence): string {
  return evidence.kind === "crash"
    ? `${evidence.fingerprint}/${evidence.target}`
    : evidence.fingerprint;
}
