import type { Clock } from "../../common/lifecycle/Clock.ts";
import { callUnary } from "../../common/rpc/callUnary.ts";
import type { ReconnectingClient } from "../../common/rpc/ReconnectingClient.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import type { PeerClient } from "../../membership/PeerClient.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import { recordCodec } from "./recordCodec.ts";
import type { RunRecord } from "./RunRecord.ts";

/** Timeout of a record call, ms. A disk sync takes about 2 ms, a hop between zones 1.5 ms. */
const RECORD_TIMEOUT_MS = 400;

/** The records of a peer, accessed over gRPC. */
export class RemoteRecordPeer implements RecordPeer {
  readonly id: string;
  readonly #client: Pick<ReconnectingClient<PeerClient>, "call">;
  readonly #clock: Clock;

  constructor(id: string, client: Pick<ReconnectingClient<PeerClient>, "call">, clock: Clock) {
    this.id = id;
    this.#client = client;
    this.#clock = clock;
  }

  async claim(key: string, record: RunRecord): Promise<ClaimReply> {
    const req = { key, record: recordCodec.encode(record, this.#clock.now()) };
    const res = await this.#client.call((client) =>
      callUnary(client.Claim.bind(client), req, RECORD_TIMEOUT_MS),
    );
    if (res.granted) {
      return { kind: "granted" };
    }
    if (!res.held) {
      throw new Error("the reply to a claim is neither a grant nor a record");
    }
    return { kind: "held", record: recordCodec.decode(res.held, this.#clock.now()) };
  }

  async settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void> {
    const encoded = record ? recordCodec.encode(record, this.#clock.now()) : null;
    await this.#client.call((client) =>
      callUnary(client.Settle.bind(client), { key, attempt, record: encoded }, RECORD_TIMEOUT_MS),
    );
  }
}
