import { readFileSync } from "node:fs";
import { join } from "node:path";
import type bunyan from "bunyan";
import { DocumentHistory } from "../../common/document/DocumentHistory.ts";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { OperatorDocument } from "../../common/document/OperatorDocument.ts";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Timer } from "../../common/lifecycle/Timer.ts";
import type { NoteBytes } from "../../common/rpc/NoteBytes.ts";
import { writeFileSynced } from "../../common/storage/writeFileSynced.ts";
import type { ConfigSource } from "../../membership/ConfigSource.ts";
import { RouteIndex } from "../routing/RouteIndex.ts";
import { ControlWatch } from "./ControlWatch.ts";

const DOC_FILE = "accepted-config.json";

/**
 * Replicas followed at the same time. With one, a change is late here when that
 * replica is slow, or its disk stands still, or the path to it was just cut.
 */
const WATCHES = 2;

/** Wait before another replica is followed after one went away, ms. */
const REWATCH_MS = 200;

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

/** One place for a watch, filled again whenever its watch ends. */
interface Slot {
  address: string;
  watch: ControlWatch | undefined;
  timer: Timer | undefined;
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
  readonly #slots: Slot[] = [];
  #routes: RouteIndex | undefined;
  #inForceSince: number | undefined;
  #stopped = false;

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
      const slot = { address: "", watch: undefined, timer: undefined };
      this.#slots.push(slot);
      this.#follow(slot);
    }
  }

  dispose(): void {
    this.#stopped = true;
    for (const { watch, timer } of this.#slots) {
      timer?.cancel();
      watch?.dispose();
    }
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

  #follow(slot: Slot): void {
    const address = this.#choose(slot);
    if (this.#stopped) {
      return;
    }
    if (address === undefined) {
      this.#followLater(slot);
      return;
    }
    const { sidecarId, clock, note, log } = this.#deps;
    slot.address = address;
    slot.watch = new ControlWatch(
      {
        sidecarId,
        clock,
        note,
        onOpen: () => {
          log.info({ replica: address, version: this.version }, "following control");
        },
        onUpdate: (update) => {
          if (this.offer(update) === "gap") {
            // An edit that was missed: a new watch starts with what is lacking here.
            slot.watch?.dispose();
          }
        },
        onEnd: (reason) => {
          log.info({ replica: address, reason }, "no longer following control");
          slot.watch = undefined;
          this.#followLater(slot);
        },
      },
      address,
      this.version,
    );
  }

  #followLater(slot: Slot): void {
    if (!this.#stopped) {
      slot.timer = this.#deps.clock.after(REWATCH_MS, () => {
        this.#follow(slot);
      });
    }
  }

  /** A replica that no other slot follows; another one than before, where there is one. */
  #choose(slot: Slot): string | undefined {
    const taken = new Set(this.#slots.filter((s) => s !== slot).map((s) => s.address));
    const free = this.#deps.controls().filter((a) => !taken.has(a));
    const others = free.filter((a) => a !== slot.address);
    const pool = others.length > 0 ? others : free;
    return pool[Math.floor(this.#deps.random() * pool.length)];
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
