import type { BucketLimits } from "../rates/BucketLimits.ts";
import type { LeaseRefusal } from "./LeaseRefusal.ts";

/** Reply of a control voter to a {@link LeaseAsk}. */
export type LeaseReply =
  | {
      readonly kind: "granted";
      readonly lease: number;
      /** Term, ms, counted by the holder from when it sent the request. */
      readonly termMs: number;
      /** Limits of the share; undefined if the voter cannot confirm its state, so that they stay as they were. */
      readonly limits: BucketLimits | undefined;
      /** Tokens in the bucket at the beginning of a new lease. */
      readonly level: number;
      /** Address of the sidecar that was last refused because of this lease; empty if none was since the last renewal. */
      readonly wantedBy: string;
    }
  | {
      readonly kind: "refused";
      readonly reason: LeaseRefusal;
      /** Address of the sidecar that holds the share; empty if none is known. */
      readonly holder: string;
      /** Time after which the request may succeed, ms. */
      readonly leftMs: number;
    };
