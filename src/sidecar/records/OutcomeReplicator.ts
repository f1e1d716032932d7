import type { Clock } from "../../common/lifecycle/Clock.ts";
import { claimQuorum } from "./claimQuorum.ts";
import type { RecordPeer } from "./RecordPeer.ts";
import type { RunRecord } from "./RunRecord.ts";

/** A keeper that has not acknowledged an outcome is told again after this long, ms; each time after twice as long... */
const FIRST_RETRY_MS = 250;

/** ...this often: for 16 s in all. One that is unreachable for 30 s gives its place to another. */
const RETRIES = 6;

/** Tells the keepers of a key how the attempt under it ended. */
export class OutcomeReplicator {
  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Tells every keeper of `group` that `attempt` ended as `record`, or did not run where
   * there is none. Resolves once a quorum has it, or every keeper was tried: a caller's
   * answer that waits for this can be replayed even when this process ends right after.
   * Keepers that did not acknowledge are told again later: one that never hears goes on
   * holding a claim, which after its deadline reads as an unknown outcome.
   */
  keep(
    group: readonly RecordPeer[],
    key: string,
    attempt: string,
    record: RunRecord | undefined,
  ): Promise<void> {
    const needed = claimQuorum(group.length);
    return new Promise((resolve) => {
      let acknowledged = 0;
      let tried = 0;
      const note = (isDone: boolean) => {
        acknowledged += Number(isDone);
        tried += 1;
        if (acknowledged >= needed || tried === group.length) {
          resolve();
        }
      };
      for (const keeper of group) {
        const tell = () => keeper.settle(key, attempt, record);
        tell().then(
          () => {
            note(true);
          },
          () => {
            note(false);
            this.#tellAgain(tell, FIRST_RETRY_MS, RETRIES);
          },
        );
      }
    });
  }

  #tellAgain(tell: () => Promise<void>, waitMs: number, left: number): void {
    if (left === 0) {
      return; // Its claim reads as unknown from its deadline on, which is safe.
    }
    this.#clock.after(waitMs, () => {
      tell().catch(() => {
        this.#tellAgain(tell, waitMs * 2, left - 1);
      });
    });
  }
}
