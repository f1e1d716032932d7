import type * as grpc from "@grpc/grpc-js";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { ControlClient } from "../../common/rpc/ControlClient.ts";
import { documentCodec } from "../../common/rpc/documentCodec.ts";
import type { MessageSizeListener } from "../../common/rpc/MessageSizeListener.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { VersionJoiner } from "../../common/rpc/VersionJoiner.ts";
import type { WatchContent } from "./WatchContent.ts";

interface ControlWatchDeps {
  readonly sidecarId: string;
  /** What the replica is to send; one of an earlier release always sends updates. */
  readonly content: WatchContent;
  /** Called with the method and size of every message to and from control. */
  readonly onMessageSize: MessageSizeListener | undefined;
  /** Clock by which confirmations age, ms; see ElapsedClock. */
  readonly elapsed: () => number;
  readonly onUpdate: (update: DocumentUpdate) => void;
  /** Called when the replica states that no change after `version` had been acknowledged at `at`, by `elapsed`. */
  readonly onConfirmed: (version: number, at: number) => void;
  /** Called when the replica states its version. */
  readonly onVersion: (version: number) => void;
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
  readonly #requestedAt: number;
  #ended = false;

  /** @param haveVersion the version in force at this sidecar; the replica sends the updates after it */
  constructor(deps: ControlWatchDeps, address: string, haveVersion: number) {
    this.#deps = deps;
    this.#client = ControlClient(address, deps.onMessageSize);
    const req = {
      sidecar_id: deps.sidecarId,
      have_version: haveVersion,
      heartbeats: true,
      accepts_packed: true,
      versions_only: deps.content === "versions",
    };
    this.#requestedAt = deps.elapsed();
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
      this.#onStatedAge(raw.version, documentCodec.heartbeatAgeMs(raw));
      this.#deps.onVersion(raw.version);
      return;
    }
    const whole = this.#join(raw);
    const update = whole && this.#decode(whole);
    if (update) {
      this.#deps.onUpdate(update);
    }
  }

  /** The update; undefined if it cannot be decoded, which ends the watch. */
  #decode(whole: ProtoTypes["ConfigVersion"]): DocumentUpdate | undefined {
    try {
      return documentCodec.decode(whole);
    } catch (err) {
      this.#end(`version ${whole.version} could not be decoded: ${String(err)}`);
      return undefined;
    }
  }

  /** Joins the parts of a version; ends the watch if there is no end of them. */
  #join(part: ProtoTypes["ConfigVersion"]): ProtoTypes["ConfigVersion"] | undefined {
    try {
      return this.#parts.add(part);
    } catch (err) {
      this.#end(err instanceof Error ? err.message : String(err));
      return undefined;
    }
  }

  /** The age counts from the request, so that a delay on the way does not make the document look newer. */
  #onStatedAge(version: number, ageMs: number | undefined): void {
    if (ageMs !== undefined) {
      this.#deps.onConfirmed(version, this.#requestedAt - ageMs);
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
