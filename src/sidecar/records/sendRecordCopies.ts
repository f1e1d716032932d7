import { callUnary } from "../../common/rpc/callUnary.ts";
import type { ReconnectingClient } from "../../common/rpc/ReconnectingClient.ts";
import type { PeerClient } from "../../membership/PeerClient.ts";
import { recordCodec } from "./recordCodec.ts";
import type { RunRecord } from "./RunRecord.ts";

/** Timeout of a handover call, ms; the handover is retried later. */
const ADOPT_TIMEOUT_MS = 2000;

/** Maximum number of records per call: with at most 64 KB per response, well below gRPC's 4 MB per message. */
const MAX_BATCH = 50;

/** Sends copies of records to a peer, with deadlines relative to `now` on the monotonic clock, ms; rejects if a call fails. */
export async function sendRecordCopies(
  client: ReconnectingClient<PeerClient>,
  records: readonly { key: string; record: RunRecord }[],
  now: number,
): Promise<void> {
  for (let start = 0; start < records.length; start += MAX_BATCH) {
    const batch = records
      .slice(start, start + MAX_BATCH)
      .map(({ key, record }) => ({ key, record: recordCodec.encode(record, now) }));
    await client.call((c) => callUnary(c.Adopt.bind(c), { records: batch }, ADOPT_TIMEOUT_MS));
  }
}
