import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Replica } from "../replica/Replica.ts";

/** Interval between the heartbeats on a watch, ms. */
const HEARTBEAT_MS = 1000;

/** Connection to one watcher. */
interface WatcherLink {
  readonly send: (update: DocumentUpdate) => void;
  /** Sends a heartbeat with the committed version; undefined if the watcher has not requested heartbeats. */
  readonly sendHeartbeat?: (version: number) => void;
  readonly end: () => void;
}

/** A client that watches the document. */
interface Watcher {
  /** The latest version that was sent to it, or that it had when it connected. */
  version: number;
  readonly link: WatcherLink;
}

/**
 * The watchers of the document at this replica. Each is sent the updates that it lacks when
 * it is added and after every commit. A replica that loses contact with the quorum ends all
 * watches, so that the watchers reconnect to another replica: its document may be hours old.
 */
export class DocumentWatchers implements IDisposable {
  readonly #replica: Pick<Replica, "inTouch" | "onChange" | "state">;
  readonly #watchers = new Set<Watcher>();
  readonly #removeListener: () => void;
  readonly #heartbeats: IDisposable;

  constructor(replica: Pick<Replica, "inTouch" | "onChange" | "state">) {
    this.#replica = replica;
    this.#heartbeats = every(HEARTBEAT_MS, () => {
      this.#sendHeartbeats();
    });
    this.#removeListener = replica.onChange(() => {
      this.#updateAll();
    });
  }

  /** Number of watchers. */
  get count(): number {
    return this.#watchers.size;
  }

  /**
   * Adds a watcher that has `version`; returns a function that removes it, or undefined if it
   * has to use another replica.
   */
  add(version: number, link: WatcherLink): (() => void) | undefined {
    if (!this.#replica.inTouch) {
      return undefined;
    }
    const watcher = { version, link };
    this.#watchers.add(watcher);
    link.sendHeartbeat?.(version);
    this.#sendUpdates(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Ends all watches, so that the server can stop. */
  dispose(): void {
    void this.#heartbeats.dispose();
    this.#removeListener();
    this.#endAll();
  }

  #updateAll(): void {
    if (!this.#replica.inTouch) {
      this.#endAll();
      return;
    }
    for (const watcher of this.#watchers) {
      this.#sendUpdates(watcher);
    }
  }

  #sendHeartbeats(): void {
    const { version } = this.#replica.state;
    for (const { link } of this.#watchers) {
      link.sendHeartbeat?.(version);
    }
  }

  #sendUpdates(watcher: Watcher): void {
    for (const update of this.#replica.state.history.updatesSince(watcher.version)) {
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
