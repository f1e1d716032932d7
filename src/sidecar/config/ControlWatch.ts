import type * as grpc from "@grpc/grpc-js";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { ControlClient } from "../../common/rpc/ControlClient.ts";
import { documentCodec } from "../../common/rpc/documentCodec.ts";
import type { MessageSizeListener } from "../../common/rpc/MessageSizeListener.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { VersionJoiner } from "../../common/rpc/VersionJoiner.ts";

interface ControlWatchDeps {
  readonly sidecarId: string;
  /** Called with the method and size of every message to and from control. */
  readonly onMessageSize: MessageSizeListener | undefined;
  readonly onUpdate: (update: DocumentUpdate) => void;
  /** Called for each message from the replica: a heartbeat about once a second, and each part of an update. */
  readonly onHeartbeat: () => void;
  /** Called once, when the watch has ended for any reason. */
  readonly onEnd: (reason: string) => void;
  /** Called once, when the replica has accepted the watch. */
  readonly onOpen: () => void;
}

/** A stream of document updates from one control replica; it is not reopened after it has ended. */
export class ControlWatch implements IDisposable {
  readonly #deps: ControlWatchDeps;
  readonly #client: ControlClient;
  readonly #call: grpc.ClientReadableStream<ProtoTypes["ConfigVersion"]>;
  readonly #parts = new VersionJoiner();
  #ended = false;

  /** @param haveVersion the version in force at this sidecar; the replica sends the updates after it */
  constructor(deps: ControlWatchDeps, address: string, haveVersion: number) {
    this.#deps = deps;
    this.#client = ControlClient(address, deps.onMessageSize);
    const req = { sidecar_id: deps.sidecarId, have_version: haveVersion, heartbeats: true };
    this.#call = this.#client.Watch(req);
    this.#call.on("metadata", () => {
      if (!this.#ended) {
        deps.onOpen();
      }
    });
    this.#call.on("data", (raw: ProtoTypes["ConfigVersion"]) => {
      if (!this.#ended) {
        this.#onData(raw);
      }
    });
    this.#call.on("error", (err: grpc.ServiceError) => {
      this.#end(err.details);
    });
    this.#call.on("end", () => {
      this.#end("ended by the replica");
    });
  }

  dispose(): void {
    this.#end("no longer needed");
  }

  #onData(raw: ProtoTypes["ConfigVersion"]): void {
    this.#deps.onHeartbeat();
    if (documentCodec.isHeartbeat(raw)) {
      return;
    }
    const whole = this.#parts.add(raw);
    if (whole) {
      this.#deps.onUpdate(documentCodec.decode(whole));
    }
  }

  #end(reason: string): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#call.cancel();
    this.#client.close();
    this.#deps.onEnd(reason);
  }
}
