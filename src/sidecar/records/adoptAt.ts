import { callUnary } from "../../common/rpc/callUnary.ts";
import type { RenewedClient } from "../../common/rpc/RenewedClient.ts";
import type { PeerClient } from "../../membership/PeerClient.ts";
import { recordWire } from "./recordWire.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A handover slower than this is tried again later, ms. */
const ADOPT_TIMEOUT_MS = 2000;

/** Records per call: well below gRPC's 4 MB a message, at 64 KB an answer at the most. */
const BATCH = 50;

/** Copies records to a peer, as they stand at `now` by the steady clock; rejects when it cannot take them. */
export async function adoptAt(
  client: RenewedClient<PeerClient>,
  records: readonly { key: string; record: RunRecord }[],
  now: number,
): Promise<void> {
  for (let from = 0; from < records.length; from += BATCH) {
    const batch = records
      .slice(from, from + BATCH)
      .map(({ key, record }) => ({ key, record: recordWire.encode(record, now) }));
    await client.call((c) => callUnary(c.Adopt.bind(c), { records: batch }, ADOPT_TIMEOUT_MS));
  }
}
