import type * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { parseOperatorDocument } from "../common/parseOperatorDocument.ts";
import type { ProtoTypes } from "../common/ProtoTypes.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { ConfigStore } from "./ConfigStore.ts";

type WatchCall = grpc.ServerWritableStream<ProtoTypes["WatchRequest"], ProtoTypes["ConfigVersion"]>;

/**
 * The gRPC handlers of the Control service over one {@link ConfigStore}.
 * Apply is compare-and-set on the version, and replays the stored answer to
 * a repeated request id, so racing operators get exactly one winner and a
 * resend after a lost answer is answered, not applied twice.
 */
export class ControlService {
  readonly #store: ConfigStore;
  readonly #log: bunyan;
  readonly #watchers = new Set<WatchCall>();

  constructor(store: ConfigStore, log: bunyan) {
    this.#store = store;
    this.#log = log;
  }

  /** Handlers keyed by rpc name, for `server.addService`. */
  handlers(): grpc.UntypedServiceImplementation {
    return {
      Apply: this.#apply,
      Watch: this.#watch,
      Current: this.#current,
    };
  }

  /** Ends every open watch stream, so the server can shut down. */
  endWatches(): void {
    for (const call of this.#watchers) {
      call.end();
    }
    this.#watchers.clear();
  }

  /** Decides one apply; pure but for the store. */
  decide(req: ProtoTypes["ApplyRequest"]): ApplyOutcome {
    const earlier = this.#store.answerFor(req.request_id);
    if (earlier) {
      return earlier;
    }
    const parsed = parseOperatorDocument(req.document);
    const current = this.#store.version;
    let outcome: ApplyOutcome;
    if (!parsed.ok) {
      const message = parsed.problems
        .map((p) => `line ${p.line} ${p.field}: ${p.message}`)
        .join("; ");
      outcome = { kind: "invalid", version: current, message };
      // An invalid document is not remembered: the operator will fix it and may reuse the id.
      return outcome;
    }
    if (req.expected_version !== current) {
      outcome = {
        kind: "conflict",
        version: current,
        message: `expected version ${req.expected_version}, current is ${current}`,
      };
      this.#store.record(req.request_id, outcome);
      return outcome;
    }
    outcome = { kind: "accepted", version: current + 1 };
    this.#store.record(req.request_id, outcome, { version: current + 1, document: req.document });
    this.#broadcast();
    return outcome;
  }

  readonly #apply: grpc.handleUnaryCall<ProtoTypes["ApplyRequest"], ProtoTypes["ApplyReply"]> = (
    call,
    callback,
  ) => {
    const outcome = this.decide(call.request);
    this.#log.info({ requestId: call.request.request_id, outcome }, "apply");
    const message = outcome.kind === "accepted" ? "" : outcome.message;
    callback(null, { outcome: outcome.kind, version: outcome.version, message });
  };

  readonly #watch = (call: WatchCall): void => {
    this.#watchers.add(call);
    call.on("cancelled", () => this.#watchers.delete(call));
    call.on("close", () => this.#watchers.delete(call));
    if (this.#store.version > call.request.have_version) {
      call.write(this.#snapshot());
    }
  };

  readonly #current: grpc.handleUnaryCall<unknown, ProtoTypes["ConfigVersion"]> = (
    _call,
    callback,
  ) => {
    callback(null, this.#snapshot());
  };

  #snapshot(): ProtoTypes["ConfigVersion"] {
    return { version: this.#store.version, document: this.#store.document };
  }

  #broadcast(): void {
    const snapshot = this.#snapshot();
    for (const call of this.#watchers) {
      call.write(snapshot);
    }
  }
}
