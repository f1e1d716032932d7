import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Replica } from "../replica/Replica.ts";

/** How often a follower hears that its watch is alive, ms. */
const HEARTBEAT_MS = 1000;

/** The way to one follower of the document. */
interface WatcherLink {
  readonly send: (update: DocumentUpdate) => void;
  /** Told the committed version; left out, the follower has not asked for heartbeats. */
  readonly beat?: (version: number) => void;
  readonly end: () => void;
}

/** One follower of the document. */
interface Watcher {
  /** The version that it has. */
  version: number;
  readonly link: WatcherLink;
}

/**
 * Followers of the document at this replica: each is sent what it lacks, now and
 * with every committed change. A replica out of touch with a quorum ends them, so
 * that they move on to one that is not: what it holds may be hours old.
 */
export class DocumentWatchers implements IDisposable {
  readonly #replica: Pick<Replica, "inTouch" | "onChange" | "state">;
  readonly #watchers = new Set<Watcher>();
  readonly #stopListening: () => void;
  readonly #heartbeats: IDisposable;

  constructor(replica: Pick<Replica, "inTouch" | "onChange" | "state">) {
    this.#replica = replica;
    this.#heartbeats = every(HEARTBEAT_MS, () => {
      this.#beat();
    });
    this.#stopListening = replica.onChange(() => {
      this.#serve();
    });
  }

  /** How many follow the document here. */
  get count(): number {
    return this.#watchers.size;
  }

  /** Adds a follower that has `version`; returns how to remove it, or undefined where it must go elsewhere. */
  add(version: number, link: WatcherLink): (() => void) | undefined {
    if (!this.#replica.inTouch) {
      return undefined;
    }
    const watcher = { version, link };
    this.#watchers.add(watcher);
    link.beat?.(version);
    this.#bringUpToDate(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Ends every watch, so that the server can stop. */
  dispose(): void {
    void this.#heartbeats.dispose();
    this.#stopListening();
    this.#endAll();
  }

  #serve(): void {
    if (!this.#replica.inTouch) {
      this.#endAll();
      return;
    }
    for (const watcher of this.#watchers) {
      this.#bringUpToDate(watcher);
    }
  }

  #beat(): void {
    const { version } = this.#replica.state;
    for (const { link } of this.#watchers) {
      link.beat?.(version);
    }
  }

  #bringUpToDate(watcher: Watcher): void {
    for (const update of this.#replica.state.history.since(watcher.version)) {
      watcher.version = update.version;
      watcher.link.send(update);
    }
  }

  #endAll(): void {
    for (const { link } of this.#watchers) {
      link.end();
    }
    this.#watchers.clear();
  }
}
