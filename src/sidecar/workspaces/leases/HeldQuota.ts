import type { LeaseReply } from "../../../common/rpc/LeaseReply.ts";
import { HeldShare } from "./HeldShare.ts";

type GrantedLease = Extract<LeaseReply, { kind: "granted" }>;

/** Least number of tokens that make a whole one; less than 1 because parts of tokens are added up. */
const WHOLE_TOKEN = 1 - 1e-6;

/** Part of a term that is kept in reserve, as the clocks of two VMs differ in rate. */
const TERM_RESERVE = 0.05;

/** The quota of a workspace in the document of this sidecar. */
interface Quota {
  readonly ratePerS: number;
  readonly burst?: number | undefined;
}

interface HeldQuotaDeps {
  readonly quota: () => Quota | undefined;
  /** Longest term that is used, ms. */
  readonly termMs: number;
  /** Clock of the buckets: it does not count suspended time, in which no tokens must be earned. */
  readonly now: () => number;
  /** Clock of the terms, which counts suspended time; see ElapsedClock. */
  readonly elapsed: () => number;
  /** Notes a lease that was received; whether it is new to this process. One that it has had before must not begin again with its first level. */
  readonly isNewLease: (id: number) => boolean;
}

/** What a request for a lease presents. */
interface PresentedLease {
  readonly lease: number;
  readonly isInForce: boolean;
  readonly isUnconfirmed: boolean;
}

/** The leases of one workspace's quota that this sidecar holds, each of one voter's share, and the credits that they allow. */
export class HeldQuota {
  readonly #deps: HeldQuotaDeps;
  /** Shares by the address of their voter, those whose lease has expired included. */
  readonly #shares = new Map<string, HeldShare>();
  /** The shares whose leases were in force when last looked at. */
  #inForce = new Set<HeldShare>();
  /**
   * Credits that were taken before this time are not taken back, ms: their tokens would have been lost since, with a
   * lease or over the brim of a bucket.
   */
  #lostAt = -Infinity;

  constructor(deps: HeldQuotaDeps) {
    this.#deps = deps;
  }

  /** What a request to the voter at `address` presents now. */
  presented(address: string): PresentedLease {
    const share = this.#shares.get(address);
    return {
      lease: share?.id ?? 0,
      isInForce: share?.isInForce(this.#deps.elapsed()) ?? false,
      isUnconfirmed: share?.isUnconfirmed ?? false,
    };
  }

  /**
   * Applies a granted lease; false if it is ignored.
   *
   * @param sentAt time at which the request was sent, by the clock of the terms, ms
   */
  apply(address: string, sentAt: number, presented: PresentedLease, lease: GrantedLease): boolean {
    const { termMs, quota, now, elapsed, isNewLease } = this.#deps;
    const until = sentAt + Math.min(termMs, lease.termMs) * (1 - TERM_RESERVE);
    const receipt = { until, quota: quota() };
    const share = this.#shares.get(address);
    const isNew = isNewLease(lease.lease);
    if (share?.id === lease.lease) {
      // A voter that has restarted takes the presented lease for its last one. Only while it is still in force now, it
      // cannot have been followed by another.
      if (presented.isInForce && !share.isInForce(elapsed())) {
        return false;
      }
      share.renew(lease, receipt);
      return true;
    }
    if (!isNew || !lease.limits) {
      return false;
    }
    this.#lostAt = now();
    this.#shares.set(address, new HeldShare(lease, receipt, now()));
    return true;
  }

  /** Takes a credit; returns the time at which it was taken, or undefined if there is none. */
  take(): number | undefined {
    const now = this.#deps.now();
    const quota = this.#deps.quota();
    const levels = this.#levels(now);
    const total = levels.reduce((sum, { level }) => sum + level, 0);
    if (total < WHOLE_TOKEN) {
      return undefined;
    }
    for (const { share, level } of levels) {
      share.take(level / total, quota, now);
    }
    return now;
  }

  /** Takes back a credit that was taken at `takenAt` and has not been used. */
  putBack(takenAt: number): void {
    const now = this.#deps.now();
    const quota = this.#deps.quota();
    const levels = this.#levels(now);
    if (takenAt <= this.#lostAt || levels.length === 0) {
      return;
    }
    const rooms = levels.map(({ share, level }) => share.limits(quota).capacity - level);
    const total = Math.max(
      1,
      rooms.reduce((sum, room) => sum + room, 0),
    );
    levels.forEach(({ share }, i) => {
      share.putBack((rooms[i] ?? 0) / total, quota, now);
    });
  }

  /** Time until the next credit, ms; undefined if no lease is in force. */
  waitMs(): number | undefined {
    const quota = this.#deps.quota();
    const levels = this.#levels(this.#deps.now());
    const total = levels.reduce((sum, { level }) => sum + level, 0);
    const ratePerS = levels.reduce((sum, { share }) => sum + share.limits(quota).ratePerS, 0);
    return levels.length === 0 ? undefined : (Math.max(0, 1 - total) / ratePerS) * 1000;
  }

  /** Whether the lease of the voter at `address` is in force. */
  holds(address: string): boolean {
    return this.presented(address).isInForce;
  }

  /** Number of leases in force. */
  get count(): number {
    const elapsed = this.#deps.elapsed();
    return [...this.#shares.values()].filter((share) => share.isInForce(elapsed)).length;
  }

  /** Ends the lease of the voter at `address`, if it is in force; returns its id and the tokens left in the bucket. */
  end(address: string): { lease: number; level: number } | undefined {
    const share = this.#shares.get(address);
    if (!share?.isInForce(this.#deps.elapsed())) {
      return undefined;
    }
    const level = share.level(this.#deps.quota(), this.#deps.now());
    share.end();
    this.#lostAt = this.#deps.now();
    return { lease: share.id, level };
  }

  /** Addresses of all voters that a lease was received from. */
  get addresses(): readonly string[] {
    return [...this.#shares.keys()];
  }

  /** The shares in force, with their levels; notes when tokens are lost. */
  #levels(now: number): { share: HeldShare; level: number }[] {
    const quota = this.#deps.quota();
    const elapsed = this.#deps.elapsed();
    const shares = [...this.#shares.values()].filter((share) => share.isInForce(elapsed));
    const levels = shares.map((share) => ({ share, level: share.level(quota, now) }));
    const inForce = new Set(shares);
    const isLost = [...this.#inForce].some((share) => !inForce.has(share));
    if (isLost || levels.some(({ share, level }) => level >= share.limits(quota).capacity)) {
      this.#lostAt = now;
    }
    this.#inForce = inForce;
    return levels;
  }
}
