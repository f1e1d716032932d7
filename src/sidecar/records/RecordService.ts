import type * as grpc from "@grpc/grpc-js";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { recordWire } from "./recordWire.ts";
import type { RunRecords } from "./RunRecords.ts";

/** The gRPC handlers for the records that this sidecar keeps of non-idempotent requests. */
export class RecordService {
  readonly #records: RunRecords;
  readonly #clock: Clock;

  constructor(records: RunRecords, clock: Clock) {
    this.#records = records;
    this.#clock = clock;
  }

  /** Handlers keyed by rpc name, for `server.addService`. */
  handlers(): grpc.UntypedServiceImplementation {
    return { Claim: this.#claim, Settle: this.#settle, Adopt: this.#adopt };
  }

  readonly #claim: grpc.handleUnaryCall<ProtoTypes["KeyedRecord"], ProtoTypes["ClaimReply"]> = (
    call,
    cb,
  ) => {
    reply(cb, async () => {
      const { key, record } = call.request;
      if (!record) {
        throw new Error("claim without a record");
      }
      const answer = await this.#records.claim(key, recordWire.decode(record, this.#clock.now()));
      return answer.kind === "granted"
        ? { granted: true, held: null }
        : { granted: false, held: recordWire.encode(answer.record, this.#clock.now()) };
    });
  };

  readonly #settle: grpc.handleUnaryCall<ProtoTypes["SettleRequest"], object> = (call, cb) => {
    reply(cb, async () => {
      const { key, attempt, record } = call.request;
      await this.#records.settle(
        key,
        attempt,
        record ? recordWire.decode(record, this.#clock.now()) : undefined,
      );
      return {};
    });
  };

  readonly #adopt: grpc.handleUnaryCall<ProtoTypes["KeyedRecords"], object> = (call, cb) => {
    reply(cb, async () => {
      for (const { key, record } of call.request.records) {
        if (record) {
          await this.#records.adopt(key, recordWire.decode(record, this.#clock.now()));
        }
      }
      return {};
    });
  };
}

/** Answers a call with what `work` gives, or with its error (a disk that refuses, say). */
function reply<T>(cb: grpc.sendUnaryData<T>, work: () => Promise<T>): void {
  work().then(
    (res) => {
      cb(null, res);
    },
    (err: unknown) => {
      cb(err instanceof Error ? err : new Error(String(err)));
    },
  );
}
