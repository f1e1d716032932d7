import type * as grpc from "@grpc/grpc-js";
import { SpanKind, context, propagation, trace, type Tracer } from "@opentelemetry/api";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { AttemptOutcome } from "../detection/AttemptOutcome.ts";
import type { ForwardResult } from "../forwarding/ForwardResult.ts";
import type { OnceRunner } from "./OnceRunner.ts";
import { recordWire } from "./recordWire.ts";
import { RETRY_AFTER_S } from "../routing/RETRY_AFTER_S.ts";
import type { RunRecords } from "./RunRecords.ts";
import { runWire } from "../forwarding/runWire.ts";
import type { TargetInfo } from "../membership/TargetInfo.ts";
import { TargetState } from "../membership/TargetState.ts";

/** What the handlers need; passed in so tests can fake each. */
interface OnceServiceDeps {
  readonly records: RunRecords;
  readonly runner: OnceRunner;
  readonly localTargets: () => readonly TargetInfo[];
  readonly tracer: Tracer;
}

/** The gRPC handlers for at-most-once work: runs beside our target, and the records we keep. */
export class OnceService {
  readonly #deps: OnceServiceDeps;

  constructor(deps: OnceServiceDeps) {
    this.#deps = deps;
  }

  /** Handlers keyed by rpc name, for `server.addService`. */
  handlers(): grpc.UntypedServiceImplementation {
    return { Run: this.#run, Claim: this.#claim, Settle: this.#settle, Adopt: this.#adopt };
  }

  /** Runs a request beside the target it names, unless the target has gone or is leaving. */
  async run(req: ProtoTypes["RunRequest"]): Promise<ForwardResult> {
    const target = this.#deps.localTargets().find((t) => t.id === req.target_id);
    if (target?.state !== TargetState.Ready) {
      const reason = "the target is not here or is leaving";
      return {
        verdict: { kind: "not-run", reason, retryAfterS: RETRY_AFTER_S },
        outcome: AttemptOutcome.Shed,
      };
    }
    const parent = propagation.extract(context.active(), req.headers);
    const span = this.#deps.tracer.startSpan("sidecar.run", { kind: SpanKind.SERVER }, parent);
    const headers = { ...req.headers };
    propagation.inject(trace.setSpan(parent, span), headers);
    const out = await this.#deps.runner.run(req.key, target, {
      method: req.method,
      path: req.path,
      headers,
      body: req.body.length > 0 ? req.body : undefined,
      deadline: req.deadline,
      echoHeader: req.echo_header === "" ? undefined : req.echo_header,
      wholeAnswer: true,
    });
    span.setAttribute("burdockpass.verdict", out.verdict.kind);
    span.end();
    return out;
  }

  readonly #run: grpc.handleUnaryCall<ProtoTypes["RunRequest"], ProtoTypes["RunReply"]> = (
    call,
    cb,
  ) => {
    reply(cb, async () => runWire.encode(await this.run(call.request)));
  };

  readonly #claim: grpc.handleUnaryCall<ProtoTypes["KeyedRecord"], ProtoTypes["ClaimReply"]> = (
    call,
    cb,
  ) => {
    reply(cb, async () => {
      const { key, record } = call.request;
      if (!record) {
        throw new Error("claim without a record");
      }
      const answer = await this.#deps.records.claim(key, recordWire.decode(record));
      return answer.kind === "granted"
        ? { granted: true, held: null }
        : { granted: false, held: recordWire.encode(answer.record) };
    });
  };

  readonly #settle: grpc.handleUnaryCall<ProtoTypes["SettleRequest"], object> = (call, cb) => {
    reply(cb, async () => {
      const { key, attempt, record } = call.request;
      await this.#deps.records.settle(key, attempt, record ? recordWire.decode(record) : undefined);
      return {};
    });
  };

  readonly #adopt: grpc.handleUnaryCall<ProtoTypes["KeyedRecords"], object> = (call, cb) => {
    reply(cb, async () => {
      for (const { key, record } of call.request.records) {
        if (record) {
          await this.#deps.records.adopt(key, recordWire.decode(record));
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
