import type bunyan from "bunyan";
import { ConfigState } from "../log/ConfigState.ts";
import type { LogEntry } from "../log/LogEntry.ts";
import type { LogSnapshot } from "../log/LogSnapshot.ts";
import type { ReplicatedLog } from "../log/ReplicatedLog.ts";

interface CommittedStateDeps {
  readonly log: ReplicatedLog;
  /** Runs a disk write; false if it failed. */
  readonly tryWrite: (write: () => void) => boolean;
  /** Called after every commit and every installed snapshot. */
  readonly onChange: () => void;
  readonly logger: bunyan;
}

/**
 * What a replica knows to be committed: an index of its log, and the state that the entries up to it lead to. The index
 * is not stored, so a replica that has started again begins with its last snapshot.
 */
export class CommittedState {
  readonly #deps: CommittedStateDeps;
  #state: ConfigState;
  #index: number;

  constructor(deps: CommittedStateDeps) {
    this.#deps = deps;
    const { snapshot } = deps.log;
    this.#state = new ConfigState(snapshot.config);
    this.#index = snapshot.index;
  }

  get state(): ConfigState {
    return this.#state;
  }

  /** Index up to which entries are committed and applied to the state; negative before any state was received. */
  get index(): number {
    return this.#index;
  }

  /** Commits the entries up to `index` and applies them to the state. */
  commit(index: number): void {
    if (index <= this.#index) {
      return;
    }
    const { log, tryWrite, onChange } = this.#deps;
    const newlyCommitted = log.entriesAfter(this.#index).filter((e) => e.index <= index);
    this.#index = index;
    newlyCommitted.forEach((e) => {
      this.#apply(e);
    });
    tryWrite(() => {
      log.compact(index, () => this.#state.snapshot());
    });
    onChange();
  }

  /** Replaces the log and the state by a leader's snapshot; false if it could not be stored. */
  install(snapshot: LogSnapshot): boolean {
    const { log, tryWrite, onChange, logger } = this.#deps;
    const isStored = tryWrite(() => {
      log.install(snapshot);
    });
    if (!isStored) {
      return false;
    }
    this.#state = new ConfigState(snapshot.config);
    this.#index = snapshot.index;
    logger.info(
      { index: snapshot.index, version: snapshot.config.version },
      "installed the leader's snapshot",
    );
    onChange();
    return true;
  }

  /**
   * Appends the entries that the log lacks; committed entries and matching entries stay unchanged. False if they could
   * not be stored.
   */
  appendMissing(received: readonly LogEntry[]): boolean {
    const { log, tryWrite } = this.#deps;
    const uncommitted = received.filter((e) => e.index > this.#index);
    const firstMissing = uncommitted.findIndex((e) => log.termAt(e.index) !== e.term);
    if (firstMissing < 0) {
      return true;
    }
    const entries = uncommitted.slice(firstMissing);
    const after = (entries[0]?.index ?? 0) - 1;
    return tryWrite(() => {
      log.append(after, entries);
    });
  }

  #apply({ body }: LogEntry): void {
    if (body.kind === "change") {
      this.#state.apply(body.change);
    } else if (body.kind === "group") {
      const { voters, next } = body.group;
      const ids = { voters: voters.map((v) => v.id), next: next?.map((v) => v.id) };
      this.#deps.logger.info(ids, "control group changed");
    }
  }
}
