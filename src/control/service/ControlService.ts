import * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { parseOperatorDocument } from "../../common/document/parseOperatorDocument.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import type { ApplyOutcome } from "./ApplyOutcome.ts";
import type { Replica } from "../replica/Replica.ts";

type WatchCall = grpc.ServerWritableStream<ProtoTypes["WatchRequest"], ProtoTypes["ConfigVersion"]>;

/** Refusals remembered here, so that a resend of one is refused again. */
const REMEMBERED_REFUSALS = 4096;

/**
 * The gRPC handlers of the Control service over one {@link Replica}. Apply is
 * compare-and-set on the version, and replays the answer to a repeated request
 * id, so racing operators get exactly one winner and a resend after a lost
 * answer is answered, not applied twice.
 */
export class ControlService implements IDisposable {
  readonly #replica: Replica;
  readonly #log: bunyan;
  readonly #watchers = new Map<WatchCall, { sentVersion: number }>();
  readonly #refusals = new Map<string, ApplyOutcome>();
  readonly #stopListening: () => void;

  constructor(replica: Replica, log: bunyan) {
    this.#replica = replica;
    this.#log = log;
    this.#stopListening = replica.onChange(() => {
      this.#serveWatchers();
    });
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
  dispose(): void {
    this.#stopListening();
    this.#endWatches();
  }

  /** Decides one apply; resolves once its answer is certain, or cannot be for now. */
  async apply(req: ProtoTypes["ApplyRequest"]): Promise<ApplyOutcome> {
    const refused = this.#refusals.get(req.request_id);
    if (refused) {
      return refused;
    }
    const parsed = parseOperatorDocument(req.document);
    if (!parsed.ok) {
      // Not remembered: the operator will fix it and may reuse the id.
      const message = parsed.problems
        .map((p) => `line ${p.line} ${p.field}: ${p.message}`)
        .join("; ");
      return { kind: "invalid", version: this.#replica.committed.version, message };
    }
    const proposed = await this.#replica.propose<ApplyOutcome>((current) => {
      const earlier = this.#replica.versionFor(req.request_id);
      if (earlier !== undefined) {
        return { answer: { kind: "accepted", version: earlier } };
      }
      if (req.expected_version !== current.version) {
        return { answer: conflict(req.expected_version, current.version) };
      }
      const { document, request_id: requestId } = req;
      return { propose: { version: current.version + 1, document, requestId } };
    });
    const { version } = this.#replica.committed;
    switch (proposed.kind) {
      case "committed":
        return { kind: "accepted", version: proposed.version };
      case "answered":
        this.#remember(req.request_id, proposed.answer);
        return proposed.answer;
      case "not-leader":
        return { kind: "not-leader", version, message: `leader: ${proposed.leader || "none yet"}` };
      case "unknown":
        return { kind: "unknown", version, message: "no quorum answered in time" };
    }
  }

  #remember(requestId: string, outcome: ApplyOutcome): void {
    if (outcome.kind !== "conflict") {
      return;
    }
    this.#refusals.set(requestId, outcome);
    const [oldest] = this.#refusals.keys();
    if (this.#refusals.size > REMEMBERED_REFUSALS && oldest !== undefined) {
      this.#refusals.delete(oldest);
    }
  }

  readonly #apply: grpc.handleUnaryCall<ProtoTypes["ApplyRequest"], ProtoTypes["ApplyReply"]> = (
    call,
    callback,
  ) => {
    this.apply(call.request).then(
      (outcome) => {
        this.#log.info({ requestId: call.request.request_id, outcome }, "apply");
        const message = outcome.kind === "accepted" ? "" : outcome.message;
        callback(null, { outcome: outcome.kind, version: outcome.version, message });
      },
      (err: unknown) => {
        this.#log.error({ err }, "apply failed");
        callback({ code: grpc.status.UNAVAILABLE, details: "the disk refused the change" });
      },
    );
  };

  readonly #watch = (call: WatchCall): void => {
    if (!this.#replica.inTouch) {
      // Cut off: what it holds may be hours old, and must not pass for current.
      call.emit("error", { code: grpc.status.UNAVAILABLE, details: "out of touch with a quorum" });
      return;
    }
    this.#watchers.set(call, { sentVersion: call.request.have_version });
    call.on("cancelled", () => this.#watchers.delete(call));
    call.on("close", () => this.#watchers.delete(call));
    this.#serveWatchers();
  };

  readonly #current: grpc.handleUnaryCall<unknown, ProtoTypes["ConfigVersion"]> = (
    _call,
    callback,
  ) => {
    void this.#replica.readCurrent().then((entry) => {
      if (entry) {
        callback(null, { version: entry.version, document: entry.document });
      } else {
        const details = `not the leader; leader: ${this.#replica.leader || "none yet"}`;
        callback({ code: grpc.status.FAILED_PRECONDITION, details });
      }
    });
  };

  #serveWatchers(): void {
    if (!this.#replica.inTouch) {
      this.#endWatches();
      return;
    }
    const { version, document } = this.#replica.committed;
    for (const [call, state] of this.#watchers) {
      if (version > state.sentVersion) {
        state.sentVersion = version;
        call.write({ version, document });
      }
    }
  }

  #endWatches(): void {
    for (const call of this.#watchers.keys()) {
      call.end();
    }
    this.#watchers.clear();
  }
}

function conflict(expected: number, current: number): ApplyOutcome {
  const message = `expected version ${expected}, current is ${current}`;
  return { kind: "conflict", version: current, message };
}
