import { readFileSync } from "node:fs";
import { join } from "node:path";
import { DocumentHistory } from "../../common/document/DocumentHistory.ts";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";
import type { ConfigSource } from "../../membership/ConfigSource.ts";
import { RouteIndex } from "../routing/RouteIndex.ts";
import { WorkspaceIndex } from "../workspaces/WorkspaceIndex.ts";
import { DocumentWatches } from "./DocumentWatches.ts";

const DOCUMENT_FILE = "accepted-config.json";

/** How the document received last has arrived. */
interface DocumentSource {
  readonly by: DocumentUpdate["kind"];
  /** Address of the control replica or member that sent it, or "disk". */
  readonly from: string;
}

type DocumentWatchesDeps = ConstructorParameters<typeof DocumentWatches>[0];

interface ConfigFollowerDeps extends Omit<
  DocumentWatchesDeps,
  "receivedVersion" | "apply" | "onConfirmed" | "onAnnounced"
> {
  /** Folder for the last accepted document; undefined to keep none. */
  readonly dataDir: string | undefined;
  /** Whether documents come into force as soon as they are received; see DocumentActivation. */
  readonly isActive: () => boolean;
  /** Called when control states that no change after `version` had been acknowledged at `at`, by `elapsed`. */
  readonly onConfirmed?: (version: number, at: number) => void;
  /** Called when the control replica at `address`, from which no updates are received, states its version. */
  readonly onAnnounced?: (address: string, version: number) => void;
  /** Called after another version was received, before it comes into force. */
  readonly onReceived?: () => void;
  /** Called after another version has come into force. */
  readonly onChange?: () => void;
}

/**
 * Follows the configuration documents that control accepts. Versions only rise: an older or
 * equal one (from a lagging replica or a repeated message) is dropped, so the document in force
 * never reverts. After a start, documents are received, but none comes into force before {@link activate}.
 * The last accepted document is saved in the data folder, if there is one, and synced to disk, so that a restarted
 * sidecar has it even if it reaches nobody.
 */
export class ConfigFollower implements ConfigSource, IDisposable {
  readonly #deps: ConfigFollowerDeps;
  readonly #history = new DocumentHistory();
  readonly #watches: DocumentWatches;
  #version = 0;
  #source: DocumentSource | undefined;
  #routes: RouteIndex | undefined;
  #workspaces: WorkspaceIndex | undefined;
  /** The workspaces from which the index was made. */
  #indexedWorkspaces: OperatorDocument["workspaces"];
  #inForceSince: number | undefined;

  constructor(deps: ConfigFollowerDeps) {
    this.#deps = deps;
    this.#watches = new DocumentWatches({
      ...deps,
      receivedVersion: () => this.receivedVersion,
      apply: (update, from) => this.offer(update, from),
      onConfirmed: (version, at) => deps.onConfirmed?.(version, at),
      onAnnounced: (address, version) => deps.onAnnounced?.(address, version),
    });
  }

  /** Version in force at this sidecar; 0 before any. */
  get version(): number {
    return this.#version;
  }

  get receivedVersion(): number {
    return this.#history.version;
  }

  /** Monotonic time at which the current document came into force, ms; undefined before any. */
  get inForceSince(): number | undefined {
    return this.#inForceSince;
  }

  /** Document in force at this sidecar; undefined before any. */
  get document(): OperatorDocument | undefined {
    return this.#routes && this.#history.document;
  }

  /** Routes in force at this sidecar; undefined before any document. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** Workspaces in force at this sidecar; undefined if the document has none. */
  get workspaces(): WorkspaceIndex | undefined {
    return this.#workspaces;
  }

  since(version: number): readonly DocumentUpdate[] {
    return this.#version > 0 ? this.#history.updatesSince(version) : [];
  }

  /** Loads the last document from the data folder, then follows control until disposed. */
  start(): void {
    this.#loadFromDisk();
    this.#watches.start();
  }

  dispose(): void {
    this.#watches.dispose();
  }

  /**
   * Applies `update` if it is newer. All documents, from control, disk or members, pass through here.
   *
   * @param from address of the control replica or member that sent it, or "disk"
   */
  offer(update: DocumentUpdate, from: string): "taken" | "stale" | "gap" {
    const result = this.#history.apply(update);
    if (result === "taken") {
      this.#source = { by: update.kind, from };
      this.#persist();
      this.#deps.onReceived?.();
      if (this.#deps.isActive()) {
        this.#putInForce();
      } else {
        const { version } = update;
        this.#deps.log.info({ version, ...this.#source }, "configuration received, not confirmed");
      }
    }
    return result;
  }

  /** Puts the document in force that was received before documents could come into force. */
  activate(reason: string): void {
    this.#deps.log.info({ version: this.receivedVersion, reason }, "configuration activated");
    this.#putInForce();
  }

  #putInForce(): void {
    const { version, document } = this.#history;
    if (version === this.#version) {
      return;
    }
    this.#version = version;
    this.#routes = new RouteIndex(document);
    if (document.workspaces !== this.#indexedWorkspaces) {
      this.#indexedWorkspaces = document.workspaces;
      this.#workspaces = document.workspaces && new WorkspaceIndex(document.workspaces);
    }
    this.#inForceSince = this.#deps.clock.now();
    this.#deps.log.info({ version, ...this.#source }, "configuration in force");
    this.#deps.onChange?.();
  }

  #loadFromDisk(): void {
    const { dataDir, log } = this.#deps;
    if (!dataDir) {
      return;
    }
    try {
      const text = readFileSync(join(dataDir, DOCUMENT_FILE), "utf8");
      this.offer(JSON.parse(text) as DocumentUpdate, "disk");
    } catch (err) {
      // There is no file yet, or the disk was lost; the current version comes from control instead.
      log.info(
        { err: err instanceof Error ? err.message : err },
        "no configuration document loaded from disk",
      );
    }
  }

  #persist(): void {
    const { dataDir, log } = this.#deps;
    if (!dataDir) {
      return;
    }
    try {
      writeFileSynced(join(dataDir, DOCUMENT_FILE), JSON.stringify(this.#history.whole));
    } catch (err) {
      // The document is in force nevertheless; it is missing only if control is unreachable after a restart.
      log.warn({ err }, "could not save the configuration document to disk");
    }
  }
}
