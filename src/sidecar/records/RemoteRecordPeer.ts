import * as grpc from "@grpc/grpc-js";
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

/**
 * Number of times that a claim is sent to a record holder that does not reply: its event loop may be blocked, on a busy
 * machine for a second, or its process has just started. A booking that is refused instead has to start over.
 */
const MAX_CLAIMS = 3;

/** Status of a call whose timeout has passed. */
const TIMED_OUT = grpc.status.CANCELLED;

/** Pause before a claim is sent again where no connection could be opened, ms. */
const RECONNECT_PAUSE_MS = 100;

/** The records of a peer, accessed over gRPC. */
export class RemoteRecordPeer implements RecordPeer {
  readonly id: string;
  readonly #client: Pick<ReconnectingClient<PeerClient>, "call">;
  readonly #clock: Clock;
  readonly #isGone: boolean;

  /** @param isGone whether the members hold the peer for dead; no reply is waited for then */
  constructor(
    id: string,
    client: Pick<ReconnectingClient<PeerClient>, "call">,
    clock: Clock,
    isGone = false,
  ) {
    this.id = id;
    this.#client = client;
    this.#clock = clock;
    this.#isGone = isGone;
  }

  async claim(key: string, record: RunRecord, startedAt: number): Promise<ClaimReply> {
    for (let sent = 1; ; sent++) {
      try {
        return await this.#call((client) => client.Claim.bind(client), key, record, startedAt);
      } catch (err) {
        const { code } = err as Partial<grpc.ServiceError>;
        const isLast = sent === MAX_CLAIMS || this.#clock.now() >= record.deadlineAt;
        if (code === grpc.status.UNAVAILABLE && !isLast) {
          await new Promise<void>((resolve) => this.#clock.after(RECONNECT_PAUSE_MS, resolve));
        } else if (code !== TIMED_OUT || isLast) {
          throw err;
        }
      }
    }
  }

  refuse(key: string, record: RunRecord, startedAt: number): Promise<ClaimReply> {
    return this.#call((client) => client.Refuse.bind(client), key, record, startedAt);
  }

  async settle(key: string, attempt: string, record: RunRecord | undefined): Promise<void> {
    const encoded = record ? recordCodec.encode(record, this.#clock.now()) : null;
    await this.#client.call((client) =>
      callUnary(client.Settle.bind(client), { key, attempt, record: encoded }, RECORD_TIMEOUT_MS),
    );
  }

  async #call(
    method: (client: PeerClient) => PeerClient["Claim"],
    key: string,
    record: RunRecord,
    startedAt: number,
  ): Promise<ClaimReply> {
    if (this.#isGone) {
      throw new Error(`record holder ${this.id} is gone`);
    }
    const now = this.#clock.now();
    const age_ms = Math.max(0, Math.round(now - startedAt));
    const req = { key, record: recordCodec.encode(record, now), age_ms };
    const res = await this.#client.call((client) =>
      callUnary(method(client), req, RECORD_TIMEOUT_MS),
    );
    if (res.granted) {
      return { kind: "granted" };
    }
    if (res.refused) {
      return { kind: "refused" };
    }
    if (!res.held) {
      throw new Error("the reply to a claim is neither a grant nor a record");
    }
    return { kind: "held", record: recordCodec.decode(res.held, this.#clock.now()) };
  }
}
