import type { ClaimReply } from "./ClaimReply.ts";
import type { PeerClient } from "../membership/PeerClient.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import { recordWire } from "./recordWire.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A record call slower than this counts as unanswered, ms. A sync takes about 2 ms, a zone hop 1.5. */
const RECORD_DEADLINE_MS = 400;

/** A peer that keeps records, over gRPC. */
export class RemoteRecordPeer implements RecordPeer {
  readonly id: string;
  readonly #client: PeerClient;

  constructor(id: string, client: PeerClient) {
    this.id = id;
    this.#client = client;
  }

  claim(key: string, wanted: RunRecord): Promise<ClaimReply> {
    return new Promise((resolve, reject) => {
      const req = { key, record: recordWire.encode(wanted) };
      this.#client.Claim(req, deadline(), (err, res) => {
        if (err || !res) {
          reject(err ?? new Error("no reply"));
        } else if (res.granted || !res.held) {
          resolve({ kind: "granted" });
        } else {
          resolve({ kind: "held", record: recordWire.decode(res.held) });
        }
      });
    });
  }

  settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const req = { key, attempt, record: record ? recordWire.encode(record) : null };
      this.#client.Settle(req, deadline(), (err) => {
        if (err) {
          reject(err);
        } else {
          resolve();
        }
      });
    });
  }
}

const deadline = () => ({ deadline: Date.now() + RECORD_DEADLINE_MS });
