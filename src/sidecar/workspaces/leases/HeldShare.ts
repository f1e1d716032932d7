import type { BucketLimits } from "../../../common/rates/BucketLimits.ts";
import { TokenBucket } from "../../../common/rates/TokenBucket.ts";
import type { LeaseReply } from "../../../common/rpc/LeaseReply.ts";

type GrantedLease = Extract<LeaseReply, { kind: "granted" }>;

/** The quota of a workspace in the document of this sidecar. */
interface Quota {
  readonly ratePerS: number;
  readonly burst?: number | undefined;
}

/** What is added to a lease when its reply arrives. */
interface LeaseReceipt {
  /** Time up to which the lease may be used, by the clock that also counts suspended time, ms. */
  readonly until: number;
  /** The quota in this sidecar's document; undefined if it has none. */
  readonly quota: Quota | undefined;
}

/**
 * A control voter's share of a quota, under a lease. Its bucket holds parts of tokens, so that a credit may be taken from
 * several shares. A lower quota in the sidecar's own document binds at once, since a renewal may carry no limits.
 */
export class HeldShare {
  readonly id: number;
  readonly #bucket: TokenBucket;
  #limits: BucketLimits;
  #quota: Quota | undefined;
  #until: number;
  #isUnconfirmed: boolean;

  /** @param now time at which the reply arrived, on the clock that does not count suspended time, ms */
  constructor(lease: GrantedLease, receipt: LeaseReceipt, now: number) {
    this.id = lease.lease;
    this.#bucket = new TokenBucket(lease.level, now);
    this.#limits = lease.limits ?? { capacity: 0, ratePerS: 0 };
    this.#quota = receipt.quota;
    this.#until = receipt.until;
    this.#isUnconfirmed = lease.limits === undefined;
  }

  /** Extends the lease, with the limits of its renewal if it has any. */
  renew({ limits }: GrantedLease, { until, quota }: LeaseReceipt): void {
    this.#until = until;
    this.#isUnconfirmed = limits === undefined;
    if (limits) {
      this.#limits = limits;
      this.#quota = quota;
    }
  }

  /** Ends the lease early: it was released, or its voter has no share of the quota any more. */
  end(): void {
    this.#until = -Infinity;
  }

  /** Whether the lease was last renewed by a voter that could not confirm its state. */
  get isUnconfirmed(): boolean {
    return this.#isUnconfirmed;
  }

  isInForce(elapsed: number): boolean {
    return elapsed < this.#until;
  }

  /** Limits of the share, lowered if the quota in the document has become lower than when they were received. */
  limits(quota: Quota | undefined): BucketLimits {
    const { capacity, ratePerS } = this.#limits;
    const before = this.#quota;
    return {
      capacity: capacity * lowering(before?.burst, quota?.burst),
      ratePerS: ratePerS * lowering(before?.ratePerS, quota?.ratePerS),
    };
  }

  /** Tokens in the bucket, never below 0. */
  level(quota: Quota | undefined, now: number): number {
    return Math.max(0, this.#bucket.levelAt(this.limits(quota), now));
  }

  take(tokens: number, quota: Quota | undefined, now: number): void {
    this.#bucket.takePart(tokens, this.limits(quota), now);
  }

  putBack(tokens: number, quota: Quota | undefined, now: number): void {
    this.#bucket.putBack(this.limits(quota), now, tokens);
  }
}

/** Factor by which a limit is lowered when the document's value goes from `before` to `after`. */
function lowering(before: number | undefined, after: number | undefined): number {
  return before === undefined || after === undefined || after >= before ? 1 : after / before;
}
