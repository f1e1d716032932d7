import type { RequestFingerprint } from "../../common/ids/RequestFingerprint.ts";

/** What the crash evidence says about a request. */
export interface Assessment {
  readonly fingerprint: RequestFingerprint;
  readonly service: string;
  /** Method and path, shortened. */
  readonly request: string;
  /** Number of independent crashes that no other request explains. */
  readonly crashes: number;
  /** Until when it is blocked, by the monotonic clock, ms; undefined for a mere suspect. */
  readonly blockedUntil: number | undefined;
}
