import type { ClaimReply } from "./ClaimReply.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A replica that keeps records: this sidecar's own, or a peer over gRPC. */
export interface RecordPeer {
  readonly id: string;
  /** Rejects when the replica cannot be reached in time. */
  claim(key: string, wanted: RunRecord): Promise<ClaimReply>;
  /** Rejects when the replica cannot be reached in time. */
  settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void>;
}
