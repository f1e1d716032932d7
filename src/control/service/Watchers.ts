import type { DocumentUpdate } from "../../common/document/DocumentUpdate.ts";
import type { IDisposable } from "../../common/lifecycle/IDisposable.ts";
import type { Replica } from "../replica/Replica.ts";

/** One follower of the document. */
interface Watcher {
  /** The version that it has. */
  version: number;
  readonly send: (update: DocumentUpdate) => void;
  readonly end: () => void;
}

/**
 * Followers of the document at this replica: each is sent what it lacks, now and
 * with every committed change. A replica out of touch with a quorum ends them, so
 * that they move on to one that is not: what it holds may be hours old.
 */
export class Watchers implements IDisposable {
  readonly #replica: Replica;
  readonly #watchers = new Set<Watcher>();
  readonly #stopListening: () => void;

  constructor(replica: Replica) {
    this.#replica = replica;
    this.#stopListening = replica.onChange(() => {
      this.#serve();
    });
  }

  /** How many follow the document here. */
  get count(): number {
    return this.#watchers.size;
  }

  /** Adds a follower that has `version`; returns how to remove it, or undefined where it must go elsewhere. */
  add(
    version: number,
    send: (update: DocumentUpdate) => void,
    end: () => void,
  ): (() => void) | undefined {
    if (!this.#replica.inTouch) {
      return undefined;
    }
    const watcher = { version, send, end };
    this.#watchers.add(watcher);
    this.#bringUpToDate(watcher);
    return () => this.#watchers.delete(watcher);
  }

  /** Ends every watch, so that the server can stop. */
  dispose(): void {
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

  #bringUpToDate(watcher: Watcher): void {
    for (const update of this.#replica.state.history.since(watcher.version)) {
      watcher.version = update.version;
      watcher.send(update);
    }
  }

  #endAll(): void {
    for (const watcher of this.#watchers) {
      watcher.end();
    }
    this.#watchers.clear();
  }
}
