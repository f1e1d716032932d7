import type * as grpc from "@grpc/grpc-js";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import { ControlClient } from "../../common/rpc/ControlClient.ts";
import { documentWire } from "../../common/rpc/documentWire.ts";
import type { NoteBytes } from "../../common/rpc/NoteBytes.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";

/** A replica that has not taken a watch on after this long is left for another, ms; across zones it takes 5. */
const OPEN_MS = 1000;

interface ControlWatchDeps {
  readonly sidecarId: string;
  readonly clock: Clock;
  readonly note: NoteBytes | undefined;
  readonly onUpdate: (update: DocumentUpdate) => void;
  /** Called once, when the watch has ended, for whatever reason. */
  readonly onEnd: (reason: string) => void;
  /** Called once, when the replica has taken the watch on. */
  readonly onOpen: () => void;
}

/** One watch of the document at one control replica, from its start to its end. */
export class ControlWatch implements IDisposable {
  readonly #deps: ControlWatchDeps;
  readonly #client: ControlClient;
  readonly #call: grpc.ClientReadableStream<ProtoTypes["ConfigVersion"]>;
  readonly #openTimer: Timer;
  #ended = false;

  /** @param haveVersion the version in force here; what follows it is sent */
  constructor(deps: ControlWatchDeps, address: string, haveVersion: number) {
    this.#deps = deps;
    this.#client = ControlClient(address, deps.note);
    const req = { sidecar_id: deps.sidecarId, have_version: haveVersion };
    this.#call = this.#client.Watch(req);
    this.#openTimer = deps.clock.after(OPEN_MS, () => {
      this.#end("not taken on in time");
    });
    this.#call.on("metadata", () => {
      this.#openTimer.cancel();
      if (!this.#ended) {
        deps.onOpen();
      }
    });
    this.#call.on("data", (raw: ProtoTypes["ConfigVersion"]) => {
      if (!this.#ended) {
        deps.onUpdate(documentWire.decode(raw));
      }
    });
    this.#call.on("error", (err: grpc.ServiceError) => {
      this.#end(err.details);
    });
    this.#call.on("end", () => {
      this.#end("the replica ended it");
    });
  }

  dispose(): void {
    this.#end("given up here");
  }

  #end(reason: string): void {
    if (this.#ended) {
      return;
    }
    this.#ended = true;
    this.#openTimer.cancel();
    this.#call.cancel();
    this.#client.close();
    this.#deps.onEnd(reason);
  }
}
