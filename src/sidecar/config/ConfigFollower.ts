import { readFileSync } from "node:fs";
import { join } from "node:path";
import type * as grpc from "@grpc/grpc-js";
import type bunyan from "bunyan";
import { fromEvent } from "most";
import { ControlClient } from "../../common/rpc/ControlClient.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { NoteBytes } from "../../common/rpc/NoteBytes.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import { parseOperatorDocument } from "../../common/document/parseOperatorDocument.ts";
import type { ProtoTypes } from "../../common/rpc/ProtoTypes.ts";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";
import { RouteIndex } from "../routing/RouteIndex.ts";

const DOC_FILE = "accepted-config.json";

/** Wait before watching again after control went away, ms. */
const REWATCH_DELAY_MS = 300;

/**
 * Follows control's accepted documents over a gRPC stream. Versions only go
 * up: an older or equal one (a lagging replica, a replayed message) is
 * dropped, so the document in force never reverts. The last accepted one is
 * kept synced under the data folder, where there is one, for restarts.
 */
export class ConfigFollower implements IDisposable {
  readonly #controls: readonly string[];
  readonly #dataDir: string | undefined;
  readonly #sidecarId: string;
  readonly #log: bunyan;
  readonly #note: NoteBytes | undefined;
  #version = 0;
  #doc: OperatorDocument | undefined;
  #text = "";
  #routes: RouteIndex | undefined;
  #client: ControlClient | undefined;
  #call: grpc.ClientReadableStream<ProtoTypes["ConfigVersion"]> | undefined;
  #next = 0;
  #stopped = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(deps: {
    controls: readonly string[];
    dataDir: string | undefined;
    sidecarId: string;
    log: bunyan;
    /** Told the size of every message to and from control. */
    note?: NoteBytes;
  }) {
    this.#controls = deps.controls;
    this.#dataDir = deps.dataDir;
    this.#sidecarId = deps.sidecarId;
    this.#log = deps.log;
    this.#note = deps.note;
    this.#loadFromDisk();
  }

  /** Version in force here; 0 before any. */
  get version(): number {
    return this.#version;
  }

  /** Document in force here. */
  get document(): OperatorDocument | undefined {
    return this.#doc;
  }

  /** The routes in force here; undefined before any document. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** The document in force here as it was accepted, to pass on to a peer. */
  get accepted(): ProtoTypes["ConfigVersion"] {
    return { version: this.#version, document: this.#text };
  }

  /** Starts watching control. */
  start(): void {
    this.#watch();
  }

  dispose(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#call?.cancel();
    this.#client?.close();
  }

  /** Applies `v` when it is newer; the single gate through which documents enter. */
  offer(v: ProtoTypes["ConfigVersion"]): boolean {
    if (v.version <= this.#version) {
      return false;
    }
    const parsed = parseOperatorDocument(v.document);
    if (!parsed.ok) {
      // Control validated it; a document that fails here means a schema skew between versions of us.
      this.#log.error(
        { version: v.version, problems: parsed.problems },
        "accepted document does not parse here",
      );
      return false;
    }
    this.#persist(v);
    this.#version = v.version;
    this.#doc = parsed.doc;
    this.#text = v.document;
    this.#routes = new RouteIndex(parsed.doc);
    this.#log.info({ version: v.version }, "configuration in force");
    return true;
  }

  #watch(): void {
    if (this.#stopped) {
      return;
    }
    const address = this.#controls[this.#next % this.#controls.length] ?? "";
    this.#client?.close();
    this.#client = ControlClient(address, this.#note);
    const call = this.#client.Watch({ sidecar_id: this.#sidecarId, have_version: this.#version });
    this.#call = call;
    void fromEvent<ProtoTypes["ConfigVersion"]>("data", call)
      .until(fromEvent("close", call))
      .filter((v) => v.version > this.#version)
      .observe((v) => this.offer(v));
    call.on("error", () => undefined);
    call.on("close", () => {
      if (!this.#stopped) {
        // The replica went away or cut us off: try the next one after a pause.
        this.#next += 1;
        this.#timer = setTimeout(() => {
          this.#watch();
        }, REWATCH_DELAY_MS);
      }
    });
  }

  #loadFromDisk(): void {
    if (!this.#dataDir) {
      return;
    }
    try {
      const stored = JSON.parse(
        readFileSync(join(this.#dataDir, DOC_FILE), "utf8"),
      ) as ProtoTypes["ConfigVersion"];
      this.offer(stored);
    } catch {
      // No file yet, or a lost disk: start from nothing and take control's current version.
    }
  }

  #persist(v: ProtoTypes["ConfigVersion"]): void {
    if (!this.#dataDir) {
      return;
    }
    writeFileSynced(join(this.#dataDir, DOC_FILE), JSON.stringify(v));
  }
}
