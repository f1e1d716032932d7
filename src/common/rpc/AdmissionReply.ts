import type { CreditOutcome } from "./CreditOutcome.ts";

/** Reply of a member to a sidecar that admits requests of workspaces. */
export interface AdmissionReply {
  /** Document version at the replying member. */
  readonly version: number;
  /** Upper bound of the age of that version when it replied, ms; undefined if it cannot tell. */
  readonly ageMs: number | undefined;
  /** Undefined if no credit was requested. */
  readonly credit: CreditOutcome | undefined;
}
