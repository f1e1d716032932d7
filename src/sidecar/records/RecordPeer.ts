import type { ClaimReply } from "./ClaimReply.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A replica in a record group: this sidecar's own records, or those of a peer over gRPC. */
export interface RecordPeer {
  readonly id: string;
  /** Reserves `key` for the attempt in `record`. Rejects if the replica cannot be reached in time. */
  claim(key: string, record: RunRecord): Promise<ClaimReply>;
  /** Stores the outcome of `attempt`; undefined releases the key. Rejects if the replica cannot be reached in time. */
  settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void>;
}
