import type { Clock } from "../../common/lifecycle/Clock.ts";
import { claimQuorum } from "./claimQuorum.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import type { RunRecord } from "./RunRecord.ts";

/** Delay before an unacknowledged outcome is sent to a record holder again, ms; it doubles with every retry. */
const FIRST_RETRY_MS = 250;

/** Retries per record holder, over 16 s in total. A holder that is unreachable for 30 s is replaced by another. */
const MAX_RETRIES = 6;

/** Sends the outcome of an attempt to all record holders of its idempotency key. */
export class OutcomeReplicator {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Settles the claim of `attempt` at every record holder of `group`: with `record`, or as not run
   * if that is undefined. Resolves once a quorum has acknowledged, or every holder has been tried: a
   * response that waits for this can be replayed even if this process ends right after it.
   * Holders that did not acknowledge get the outcome again later. One that never gets it keeps
   * the claim, which counts as an unknown outcome after its deadline.
   */
  replicate(
    group: readonly Pick<RecordPeer, "settle">[],
    key: string,
    attempt: string,
    record: RunRecord | undefined,
  ): Promise<void> {
    if (group.length === 0) {
      return Promise.resolve();
    }
    const needed = claimQuorum(group.length);
    return new Promise((resolve) => {
      let acknowledged = 0;
      let attempted = 0;
      const onResult = (isAcknowledged: boolean) => {
        acknowledged += Number(isAcknowledged);
        attempted += 1;
        if (acknowledged >= needed || attempted === group.length) {
          resolve();
        }
      };
      for (const holder of group) {
        const settle = () => holder.settle(key, attempt, record);
        settle().then(
          () => {
            onResult(true);
          },
          () => {
            onResult(false);
            this.#retry(settle, FIRST_RETRY_MS, MAX_RETRIES);
          },
        );
      }
    });
  }

  #retry(settle: () => Promise<void>, waitMs: number, retriesLeft: number): void {
    if (retriesLeft === 0) {
      return; // The holder's claim counts as an unknown outcome after its deadline, which is safe.
    }
    this.#clock.after(waitMs, () => {
      settle().catch(() => {
        this.#retry(settle, waitMs * 2, retriesLeft - 1);
      });
    });
  }
}
