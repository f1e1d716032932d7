import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { StorageError } from "../../common/storage/StorageError.ts";

/**
 * A write that takes longer than this, and much longer than usual, indicates a failing disk, ms: a sync takes 2 on a
 * healthy disk and 70 on a slow one. A leader then hands over, since every change waits for its disk.
 */
const SLOW_WRITE_MS = 400;

/** Ratio to the usual duration above which a write counts as slow: where all disks are slow, none is failing. */
const SLOW_RATIO = 3;

/** Weight of the last write in the usual duration. */
const LAST_WEIGHT = 0.3;

/** Limit on how far one write changes the usual duration, ms: a single stall says little about the next writes. */
const MAX_STEP_MS = 50;

/** Limit on the usual duration, ms: with a longer one, a leader could not keep its lease. */
const MAX_USUAL_MS = 500;

interface DiskWriterDeps {
  readonly clock: Clock;
  readonly logger: bunyan;
  /** Called with the duration of each disk write, ms. */
  readonly onWrite: ((ms: number) => void) | undefined;
  /** Called when a write has failed or was slow: the replica is unfit to lead. */
  readonly onFault: (reason: string) => void;
}

/** Runs a replica's disk writes, and reports a disk that fails or stalls. */
export class DiskWriter {
  readonly #deps: DiskWriterDeps;
  #usualMs: number | undefined;

  constructor(deps: DiskWriterDeps) {
    this.#deps = deps;
  }

  /** Usual duration of a write, ms; 0 before the first. */
  get usualMs(): number {
    return this.#usualMs ?? 0;
  }

  /** Runs a disk write; returns false if it failed, in which case it had no effect. */
  tryWrite(write: () => void): boolean {
    const { clock, logger, onWrite, onFault } = this.#deps;
    const startedAt = clock.now();
    try {
      write();
    } catch (err) {
      if (!(err instanceof StorageError)) {
        throw err;
      }
      logger.error({ err: err.message }, "disk write failed");
      onFault("disk write failed");
      return false;
    }
    const ms = clock.now() - startedAt;
    onWrite?.(ms);
    const usualMs = this.#usualMs ?? Math.min(ms, MAX_USUAL_MS);
    const expectedMs = Math.min(ms, SLOW_RATIO * usualMs + MAX_STEP_MS, MAX_USUAL_MS);
    this.#usualMs = usualMs + LAST_WEIGHT * (expectedMs - usualMs);
    if (ms > SLOW_WRITE_MS && ms > SLOW_RATIO * usualMs) {
      logger.warn({ ms: Math.round(ms), usualMs: Math.round(usualMs) }, "slow disk write");
      onFault("slow disk");
    }
    return true;
  }
}
