import { TokenBucket } from "../src/common/rates/TokenBucket.ts";
import type { TargetId } from "../src/common/ids/TargetId.ts";
import type { Clock } from "../src/common/lifecycle/Clock.ts";

interface SenderSharesDeps {
  /** The limit that a target has named to this sender, requests a second. */
  readonly limitOf: (target: TargetId) => number | undefined;
  /** Number of senders that share each limit. */
  readonly senders: () => number;
  readonly clock: Clock;
}

/**
 * The alternative to a limit that the target's sidecar enforces: each sender has an equal share of it, and asks nobody.
 * Compared with the product by the experiment.
 */
export class SenderShares {
  readonly #deps: SenderSharesDeps;
  readonly #buckets = new Map<TargetId, TokenBucket>();

  constructor(deps: SenderSharesDeps) {
    this.#deps = deps;
  }

  /** Takes a token for a request to a target; false if this sender's share is used up. */
  take(target: TargetId): boolean {
    const { limitOf, senders, clock } = this.#deps;
    const perS = limitOf(target);
    if (perS === undefined) {
      this.#buckets.delete(target);
      return true;
    }
    const now = clock.now();
    const bucket = this.#buckets.get(target) ?? new TokenBucket(0, now);
    this.#buckets.set(target, bucket);
    return bucket.take({ capacity: 1, ratePerS: perS / senders() }, now);
  }
}
