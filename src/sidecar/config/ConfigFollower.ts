import { readFileSync } from "node:fs";
import { join } from "node:path";
import type bunyan from "bunyan";
import { DocumentHistory } from "../../common/document/DocumentHistory.ts";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { NoteBytes } from "../../common/rpc/NoteBytes.ts";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";
import type { ConfigSource } from "../../membership/ConfigSource.ts";
import { RouteIndex } from "../routing/RouteIndex.ts";
import { ControlWatch } from "./ControlWatch.ts";
import { WatchSlot } from "./WatchSlot.ts";

const DOC_FILE = "accepted-config.json";

/**
 * Replicas followed at the same time. With one, a change is late here when that
 * replica is slow, or its disk stands still, or the path to it was just cut.
 */
const WATCHES = 2;

interface ConfigFollowerDeps {
  /** Control replicas known at the moment, host:port. */
  readonly controls: () => readonly string[];
  readonly dataDir: string | undefined;
  readonly sidecarId: string;
  readonly clock: Clock;
  /** In [0, 1). */
  readonly random: () => number;
  readonly log: bunyan;
  /** Told the size of every message to and from control. */
  readonly note?: NoteBytes;
  /** Called when another version has come into force. */
  readonly onChange?: () => void;
}

/**
 * Follows control's accepted documents. Versions only go up: an older or equal one
 * (a lagging replica, a replayed message) is dropped, so the document in force never
 * reverts. The last accepted one is kept synced under the data folder, where there is
 * one, for restarts.
 */
export class ConfigFollower implements ConfigSource, IDisposable {
  readonly #deps: ConfigFollowerDeps;
  readonly #history = new DocumentHistory();
  readonly #slots: WatchSlot[] = [];
  #routes: RouteIndex | undefined;
  #inForceSince: number | undefined;

  constructor(deps: ConfigFollowerDeps) {
    this.#deps = deps;
    this.#loadFromDisk();
  }

  /** Version in force here; 0 before any. */
  get version(): number {
    return this.#history.version;
  }

  /** When the document in force here came into force, by the steady clock, ms; undefined before any. */
  get inForceSince(): number | undefined {
    return this.#inForceSince;
  }

  /** Document in force here; undefined before any. */
  get document(): OperatorDocument | undefined {
    return this.#routes && this.#history.document;
  }

  /** The routes in force here; undefined before any document. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  since(version: number): readonly DocumentUpdate[] {
    return this.#history.since(version);
  }

  /** Follows control until disposed. */
  start(): void {
    for (let n = 0; n < WATCHES; n++) {
      const slot = this.#openSlot();
      this.#slots.push(slot);
      slot.start();
    }
  }

  dispose(): void {
    this.#slots.forEach((s) => {
      s.dispose();
    });
  }

  /** Takes `update` when it is newer; the single gate through which documents enter. */
  offer(update: DocumentUpdate): "taken" | "stale" | "gap" {
    const taken = this.#history.take(update);
    if (taken === "taken") {
      this.#routes = new RouteIndex(this.#history.document);
      this.#inForceSince = this.#deps.clock.now();
      this.#persist();
      this.#deps.log.info({ version: update.version, by: update.kind }, "configuration in force");
      this.#deps.onChange?.();
    }
    return taken;
  }

  #openSlot(): WatchSlot {
    const { sidecarId, note, clock, log } = this.#deps;
    return new WatchSlot({
      choose: (avoid) => this.#choose(avoid),
      open: (address, events) =>
        new ControlWatch({ sidecarId, note, ...events }, address, this.version),
      take: (update) => this.offer(update),
      clock,
      log,
    });
  }

  /** A replica that no slot follows and that is not to be avoided, where there is one. */
  #choose(avoid: ReadonlySet<string>): string | undefined {
    const { controls, random } = this.#deps;
    const taken = new Set(this.#slots.flatMap((s) => s.addresses));
    const known = controls();
    const pool = [
      known.filter((a) => !taken.has(a) && !avoid.has(a)),
      known.filter((a) => !avoid.has(a)),
      known,
    ].find((candidates) => candidates.length > 0);
    return pool?.[Math.floor(random() * pool.length)];
  }

  #loadFromDisk(): void {
    const { dataDir, log } = this.#deps;
    if (!dataDir) {
      return;
    }
    try {
      const text = readFileSync(join(dataDir, DOC_FILE), "utf8");
      this.offer(JSON.parse(text) as DocumentUpdate);
    } catch (err) {
      // No file yet, or a lost disk: control's current version is taken instead.
      log.info({ err: err instanceof Error ? err.message : err }, "no document on disk");
    }
  }

  #persist(): void {
    const { dataDir, log } = this.#deps;
    if (!dataDir) {
      return;
    }
    try {
      writeFileSynced(join(dataDir, DOC_FILE), JSON.stringify(this.#history.whole));
    } catch (err) {
      // It is in force all the same; only a restart without control would miss it.
      log.warn({ err }, "the document could not be kept on disk");
    }
  }
}
