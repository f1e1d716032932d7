import type { PeerClient } from "../membership/PeerClient.ts";
import { recordWire } from "./recordWire.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A handover slower than this is tried again later, ms. */
const ADOPT_DEADLINE_MS = 2000;

/** Records per call: well below gRPC's 4 MB a message, at 64 KB an answer at the most. */
const BATCH = 50;

/** Copies records to a peer; rejects when it cannot take them now. */
export async function adoptAt(
  client: PeerClient,
  records: readonly { key: string; record: RunRecord }[],
): Promise<void> {
  for (let from = 0; from < records.length; from += BATCH) {
    const batch = records
      .slice(from, from + BATCH)
      .map(({ key, record }) => ({ key, record: recordWire.encode(record) }));
    await new Promise<void>((resolve, reject) => {
      client.Adopt({ records: batch }, { deadline: Date.now() + ADOPT_DEADLINE_MS }, (err) => {
        if (err) {
          reject(err);
        } else {
          resolve();
        }
      });
    });
  }
}
