import type bunyan from "bunyan";
import type { Clock } from "../../common/lifecycle/Clock.ts";
import { StorageError } from "../../common/storage/StorageError.ts";

/**
 * A write that takes longer than this indicates a failing disk, ms: a sync takes 2 on a healthy
 * disk and 70 on a slow one. A leader then hands over, since every change waits for its disk.
 */
const SLOW_WRITE_MS = 400;

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

  constructor(deps: DiskWriterDeps) {
    this.#deps = deps;
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
    if (ms > SLOW_WRITE_MS) {
      logger.warn({ ms: Math.round(ms) }, "slow disk write");
      onFault("slow disk");
    }
    return true;
  }
}
