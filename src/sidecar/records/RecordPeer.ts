import type { ClaimReply } from "./ClaimReply.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A replica in a record group: this sidecar's own records, or those of a peer over gRPC. */
export interface RecordPeer {
  readonly id: string;
  /**
   * Reserves `key` for the attempt in `record`, which began at `startedAt` on the monotonic clock, ms. Rejects if the
   * replica cannot be reached in time.
   */
  claim(key: string, record: RunRecord, startedAt: number): Promise<ClaimReply>;
  /**
   * Bars the attempts that began before `startedAt` from claiming `key`, until the deadline in `record`, unless one
   * has. Rejects if the replica cannot be reached in time.
   */
  refuse(key: string, record: RunRecord, startedAt: number): Promise<ClaimReply>;
  /** Stores the outcome of `attempt`; undefined releases the key. Rejects if the replica cannot be reached in time. */
  settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void>;
}
