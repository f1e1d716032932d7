import type * as grpc from "@grpc/grpc-js";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { ClaimReply } from "./ClaimReply.ts";
import { recordCodec } from "./recordCodec.ts";
import type { RunRecord } from "./RunRecord.ts";
import type { RunRecords } from "./RunRecords.ts";

/** gRPC handlers for the records of non-idempotent requests that this sidecar holds. */
export class RecordService {
  readonly #records: RunRecords;
  readonly #clock: Clock;

  constructor(records: RunRecords, clock: Clock) {
    this.#records = records;
    this.#clock = clock;
  }

  /** Handlers by rpc name, for `server.addService`. */
  handlers(): grpc.UntypedServiceImplementation {
    return {
      Claim: this.#claimHandler((...args) => this.#records.claim(...args)),
      Refuse: this.#claimHandler((...args) => this.#records.refuse(...args)),
      Settle: this.#settle,
      Adopt: this.#adopt,
    };
  }

  #claimHandler(
    handle: (key: string, record: RunRecord, startedAt: number) => Promise<ClaimReply>,
  ): grpc.handleUnaryCall<ProtoTypes["ClaimRequest"], ProtoTypes["ClaimReply"]> {
    return (call, cb) => {
      respond(cb, async () => {
        const { key, record, age_ms: ageMs } = call.request;
        if (!record) {
          throw new Error("claim request has no record");
        }
        const now = this.#clock.now();
        const reply = await handle(key, recordCodec.decode(record, now), now - ageMs);
        const held = reply.kind === "held" ? reply.record : undefined;
        return {
          granted: reply.kind === "granted",
          held: held ? recordCodec.encode(held, this.#clock.now()) : null,
          refused: reply.kind === "refused",
        };
      });
    };
  }

  readonly #settle: grpc.handleUnaryCall<ProtoTypes["SettleRequest"], object> = (call, cb) => {
    respond(cb, async () => {
      const { key, attempt, record } = call.request;
      await this.#records.settle(
        key,
        attempt,
        record ? recordCodec.decode(record, this.#clock.now()) : undefined,
      );
      return {};
    });
  };

  readonly #adopt: grpc.handleUnaryCall<ProtoTypes["KeyedRecords"], object> = (call, cb) => {
    respond(cb, async () => {
      for (const { key, record } of call.request.records) {
        if (record) {
          await this.#records.adopt(key, recordCodec.decode(record, this.#clock.now()));
        }
      }
      return {};
    });
  };
}

/** Completes a call with the result of `handle`, or with its error, such as a failed disk write. */
function respond<T>(cb: grpc.sendUnaryData<T>, handle: () => Promise<T>): void {
  handle().then(
    (res) => {
      cb(null, res);
    },
    (err: unknown) => {
      cb(err instanceof Error ? err : new Error(String(err)));
    },
  );
}
