import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";

/** A run that was in progress when its target's process ended: the request may have caused that. */
export interface Crash {
  readonly kind: "crash";
  readonly fingerprint: RequestFingerprint;
  readonly service: string;
  /** Method and path, shortened, for operators. */
  readonly request: string;
  /** The incarnation of the target that ended. */
  readonly target: string;
  /** When the run began and when it was lost, by the local monotonic clock, ms. */
  readonly startedAt: number;
  readonly at: number;
}

/** The end of a suspicion: crashes of the request up to this time no longer count. */
export interface Clearance {
  readonly kind: "clearance";
  readonly fingerprint: RequestFingerprint;
  /** A run of the request has completed, or an operator has released it. */
  readonly by: "completion" | "operator";
  /** By the local monotonic clock, ms. */
  readonly at: number;
}

/** Evidence for or against the suspicion that a request crashes the targets that run it. */
export type CrashEvidence = Crash | Clearance;
