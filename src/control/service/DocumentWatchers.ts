import type bunyan from "bunyan";
import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import { every } from "../../common/lifecycle/every.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { ConfigState } from "../log/ConfigState.ts";
import type { Replica } from "../replica/Replica.ts";

/** Interval between the heartbeats on a watch, ms. */
const HEARTBEAT_MS = 1000;

/** Connection to one watcher. */
interface WatcherLink {
  /** Sends an update; undefined if the watcher has requested versions only. */
  readonly send: ((update: DocumentUpdate) => void) | undefined;
  /**
   * Sends a heartbeat with the committed version and an upper bound of its age, ms; undefined if the watcher has not
   * requested heartbeats.
   */
  readonly sendHeartbeat?: (version: number, ageMs: number | undefined) => void;
  readonly end: () => void;
}

/** A client that watches the document. */
interface Watcher {
  /** The latest version that was sent to it, or that it had when it connected. */
  version: number;
  readonly link: WatcherLink;
}

/** The replica whose document is watched. */
type WatchedReplica = Pick<Replica, "currentState" | "stateAgeMs" | "onChange">;

/**
 * The watchers of the document at this replica. Each is sent the updates that it lacks when
 * it is added and after every commit, or a heartbeat if it has requested versions only. A replica whose state is not known to be current ends all
 * watches, so that the watchers reconnect to another replica: its document may be hours old.
 */
export class DocumentWatchers implements IDisposable {
  readonly #replica: WatchedReplica;
  readonly #log: bunyan;
  readonly #watchers = new Set<Watcher>();
  readonly #removeListener: () => void;
  readonly #heartbeats: IDisposable;
  #wasCurrent = false;

  constructor(replica: WatchedReplica, log: bunyan) {
    this.#replica = replica;
    this.#log = log;
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
    const state = this.#currentState;
    if (!state) {
      return undefined;
    }
    // The heartbeat below tells a watcher of versions only what it may lack.
    const watcher = { version: link.send ? version : state.version, link };
    this.#watchers.add(watcher);
    link.sendHeartbeat?.(state.version, this.#replica.stateAgeMs);
    this.#sendUpdates(watcher, state);
    return () => this.#watchers.delete(watcher);
  }

  /** Ends all watches, so that the server can stop. */
  dispose(): void {
    void this.#heartbeats.dispose();
    this.#removeListener();
    this.#endAll();
  }

  #updateAll(): void {
    const state = this.#currentState;
    if (!state) {
      this.#endAll();
      return;
    }
    for (const watcher of this.#watchers) {
      this.#sendUpdates(watcher, state);
    }
  }

  #sendHeartbeats(): void {
    const state = this.#currentState;
    if (!state) {
      this.#endAll();
      return;
    }
    for (const { link } of this.#watchers) {
      link.sendHeartbeat?.(state.version, this.#replica.stateAgeMs);
    }
  }

  /** The replica's state while it is known to be current; logs when that changes. */
  get #currentState(): ConfigState | undefined {
    const { currentState, stateAgeMs: ageMs } = this.#replica;
    const isCurrent = currentState !== undefined;
    if (isCurrent !== this.#wasCurrent) {
      this.#wasCurrent = isCurrent;
      const fields = { version: currentState?.version, ageMs, watchers: this.#watchers.size };
      const text = isCurrent ? "document confirmed as current" : "document no longer confirmed";
      this.#log.info(fields, text);
    }
    return currentState;
  }

  #sendUpdates(watcher: Watcher, { history }: ConfigState): void {
    const { send } = watcher.link;
    if (!send) {
      this.#announce(watcher, history.version);
      return;
    }
    for (const update of history.updatesSince(watcher.version)) {
      watcher.version = update.version;
      send(update);
    }
  }

  /** Tells a watcher that has requested versions only of another one, without waiting for the next heartbeat. */
  #announce(watcher: Watcher, version: number): void {
    if (version > watcher.version) {
      watcher.version = version;
      watcher.link.sendHeartbeat?.(version, this.#replica.stateAgeMs);
    }
  }

  #endAll(): void {
    for (const { link } of this.#watchers) {
      link.end();
    }
    this.#watchers.clear();
  }
}
